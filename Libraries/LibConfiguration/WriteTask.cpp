#include <LibConfiguration/WriteTask.h>

#include <LibCore/Overloaded.h>

namespace verbenachute {

namespace {

using ConfigurationPointer = std::shared_ptr<const Configuration>;

Error
Fault(ErrorCode aCode, const char* aMessage)
{
  return Error{ Step::Configuration, aCode, "", aMessage };
}

Result<ChangeOutcome>
ApplyBootstrap(const Bootstrap& aBootstrap, const ConfigurationPointer& aBase)
{
  const Result<ConfigurationPointer> first = BootstrapConfiguration(aBootstrap);
  if (IsError(first)) {
    return ErrorOf(first);
  }
  if (!aBase) {
    return ChangeOutcome{ ValueOf(first), Revision(1), {} };
  }
  const HistoryEntry* entry = ConfigurationEditor::FindOperation(
    aBase->Content(), OperationId(Bootstrap::kOperation));
  const HistoryEntry& own = ValueOf(first)->Content().mHistory.front();
  if (!entry || entry->mDigest != own.mDigest) {
    return Fault(ErrorCode::Conflict,
                 "the store has another configuration already");
  }
  return ChangeOutcome{ aBase, entry->mRevision, {} };
}

} // namespace

Result<ChangeOutcome>
ApplyTask(const WriteTask& aTask, const ConfigurationPointer& aBase)
{
  if (const Bootstrap* bootstrap = std::get_if<Bootstrap>(&aTask)) {
    return ApplyBootstrap(*bootstrap, aBase);
  }
  if (!aBase) {
    return Fault(ErrorCode::NotFound,
                 "there is no configuration yet; bootstrap one first");
  }
  return ConfigurationEditor::Apply(aBase, std::get<ChangeRequest>(aTask));
}

} // namespace verbenachute
