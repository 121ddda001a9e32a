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

/// The edit that the request applies or proposes; null if there is none.
const Edit*
EditOf(const Change& aChange)
{
  if (const MakeEdit* make = std::get_if<MakeEdit>(&aChange)) {
    return &make->mEdit;
  }
  const Propose* propose = std::get_if<Propose>(&aChange);
  return propose == nullptr ? nullptr : &propose->mEdit;
}

Result<ChangeOutcome>
ApplyListed(const ListedChange& aChange, const ConfigurationPointer& aBase)
{
  const Edit* edit = EditOf(aChange.mRequest.mChange);
  if (edit != nullptr && (std::holds_alternative<RegisterTarget>(*edit) ||
                          std::holds_alternative<RegisterDomain>(*edit))) {
    return Fault(ErrorCode::InvalidInput,
                 "targets and failure domains tell of themselves here and "
                 "can't be registered");
  }
  const Result<ConfigurationPointer> whole =
    WithListing(aBase, *aChange.mListing);
  if (IsError(whole)) {
    return ErrorOf(whole);
  }
  Result<ChangeOutcome> applied =
    ConfigurationEditor::Apply(ValueOf(whole), aChange.mRequest);
  if (IsError(applied)) {
    return applied;
  }
  ChangeOutcome outcome = ReleaseValue(std::move(applied));
  if (outcome.mConfiguration == ValueOf(whole)) {
    // The operation was applied before.
    outcome.mConfiguration = aBase;
    return outcome;
  }
  const Result<ConfigurationPointer> said =
    WithoutListing(*outcome.mConfiguration);
  if (IsError(said)) {
    return ErrorOf(said);
  }
  outcome.mConfiguration = ValueOf(said);
  return outcome;
}

} // namespace

Result<ChangeOutcome>
ApplyTask(const WriteTask& aTask, const ConfigurationPointer& aBase)
{
  if (const Bootstrap* bootstrap = std::get_if<Bootstrap>(&aTask)) {
    return ApplyBootstrap(*bootstrap, aBase);
  }
  if (const ListedChange* listed = std::get_if<ListedChange>(&aTask)) {
    return ApplyListed(*listed, aBase);
  }
  if (!aBase) {
    return Fault(ErrorCode::NotFound,
                 "there is no configuration yet; bootstrap one first");
  }
  return ConfigurationEditor::Apply(aBase, std::get<ChangeRequest>(aTask));
}

} // namespace verbenachute
