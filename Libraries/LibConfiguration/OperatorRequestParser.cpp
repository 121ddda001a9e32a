#include <LibConfiguration/OperatorRequestParser.h>

#include <LibConfiguration/ConfigurationEditor.h>
#include <LibConfiguration/EditJson.h>
#include <LibConfiguration/JsonObjectReader.h>
#include <LibConfiguration/NameRules.h>
#include <LibJson/JsonText.h>

#include <algorithm>
#include <charconv>

namespace verbenachute {

namespace {

constexpr std::uint64_t kHistoryDefault = 20;
constexpr std::uint64_t kLargestNumber = 9'000'000'000'000'000;

Error
Fault(ErrorCode aCode, std::string aMessage)
{
  return Error{ Step::Parse, aCode, "", std::move(aMessage) };
}

/// Reads the parameters of a query and tracks which ones were read.
class ParameterReader
{
public:
  explicit ParameterReader(const OperatorRequestParser::Parameters& aParameters)
    : mUnread(aParameters)
  {
  }

  std::string Take(const char* aName)
  {
    const auto found = mUnread.find(aName);
    if (found == mUnread.end()) {
      return "";
    }
    std::string text = found->second;
    mUnread.erase(found);
    const Result<Success> checked = CheckName(aName, text);
    if (IsError(checked)) {
      Fail(ErrorOf(checked).mMessage);
    }
    return text;
  }

  std::uint64_t TakeNumber(const char* aName,
                           std::uint64_t aDefault,
                           std::uint64_t aMost)
  {
    if (!mUnread.contains(aName)) {
      return aDefault;
    }
    const std::string text = Take(aName);
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result result =
      std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end || number > aMost) {
      Fail(std::string("parameter '") + aName +
           "' must be a whole number from 0 to " + std::to_string(aMost));
    }
    return number;
  }

  void Fail(std::string aMessage)
  {
    if (mFault.empty()) {
      mFault = std::move(aMessage);
    }
  }

  [[nodiscard]] Result<Success> Finish() const
  {
    if (!mFault.empty()) {
      return Fault(ErrorCode::InvalidInput, mFault);
    }
    if (!mUnread.empty()) {
      return Fault(ErrorCode::InvalidInput,
                   "unknown parameter '" + mUnread.begin()->first + "'");
    }
    return Success{};
  }

private:
  OperatorRequestParser::Parameters mUnread;
  std::string mFault;
};

void
ReadTargets(ParameterReader* aReader, OperatorQuestion* aQuestion)
{
  const std::string service = aReader->Take("service");
  if (!service.empty()) {
    aQuestion->mService = ServiceName(service);
  }
  aQuestion->mCaller = CallerId(aReader->Take("caller"));
}

void
ReadExplain(ParameterReader* aReader, OperatorQuestion* aQuestion)
{
  aQuestion->mTarget = TargetName(aReader->Take("target"));
  aQuestion->mCaller = CallerId(aReader->Take("caller"));
  if (aQuestion->mTarget.value().empty()) {
    aReader->Fail("parameter 'target' is missing");
  }
}

void
ReadHistory(ParameterReader* aReader, OperatorQuestion* aQuestion)
{
  aQuestion->mLimit = aReader->TakeNumber(
    "limit", kHistoryDefault, ConfigurationEditor::kHistoryEntries);
}

void
ReadWatch(ParameterReader* aReader, OperatorQuestion* aQuestion)
{
  const std::uint64_t longest = std::chrono::duration_cast<milliseconds>(
                                  OperatorRequestParser::kLongestWait)
                                  .count();
  aQuestion->mAfter = Revision(aReader->TakeNumber("after", 0, kLargestNumber));
  aQuestion->mWait =
    milliseconds(aReader->TakeNumber("wait_ms", longest, longest));
}

void
ReadNothing(ParameterReader*, OperatorQuestion*)
{
}

struct TopicKind
{
  std::string_view mName;
  OperatorTopic mTopic;
  void (*mRead)(ParameterReader*, OperatorQuestion*);
};

constexpr TopicKind kTopics[] = {
  { "status", OperatorTopic::Status, ReadNothing },
  { "nodes", OperatorTopic::Nodes, ReadNothing },
  { "targets", OperatorTopic::Targets, ReadTargets },
  { "labels", OperatorTopic::Labels, ReadNothing },
  { "domains", OperatorTopic::Domains, ReadNothing },
  { "selectors", OperatorTopic::Selectors, ReadNothing },
  { "explain", OperatorTopic::Explain, ReadExplain },
  { "policy", OperatorTopic::Policy, ReadNothing },
  { "pending", OperatorTopic::Pending, ReadNothing },
  { "history", OperatorTopic::History, ReadHistory },
  { "document", OperatorTopic::Document, ReadNothing },
  { "watch", OperatorTopic::Watch, ReadWatch },
};

template<typename Kind>
Change
ReadEditChange(JsonObjectReader* aReader)
{
  Kind change;
  change.mEdit = aReader->Take(ReadEdit(aReader->Any("edit")));
  change.mCoverageLoss = aReader->FlagOr("override", false)
                           ? CoverageLoss::Accepted
                           : CoverageLoss::Refused;
  return change;
}

template<typename Kind>
Change
ReadProposalChange(JsonObjectReader* aReader)
{
  return Kind{ ProposalId(aReader->Text("proposal")) };
}

struct ChangeKind
{
  std::string_view mName;
  Change (*mRead)(JsonObjectReader*);
};

constexpr ChangeKind kChanges[] = {
  { "edit", ReadEditChange<MakeEdit> },
  { "propose", ReadEditChange<Propose> },
  { "approve", ReadProposalChange<Approve> },
  { "reject", ReadProposalChange<Reject> },
};

Result<Change>
ReadChange(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "change");
  const std::string name = reader.Text("kind");
  for (const ChangeKind& kind : kChanges) {
    if (name != kind.mName) {
      continue;
    }
    const Change change = kind.mRead(&reader);
    const Result<Success> finished = reader.Finish();
    return IsError(finished) ? Result<Change>(ErrorOf(finished))
                             : Result<Change>(change);
  }
  return Fault(ErrorCode::InvalidInput, "'" + name + "' is no kind of change");
}

} // namespace

Result<OperatorChange>
OperatorRequestParser::ParseChange(std::string_view aBody)
{
  const Result<Json::Value> parsed = ParseJson(aBody, kChangeBytes);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonObjectReader reader(ValueOf(parsed), "request");
  OperatorChange change;
  change.mRequest.mOperator = OperatorName(reader.Text("operator"));
  change.mRequest.mOperation = OperationId(reader.Text("operation_id"));
  change.mDryRun = reader.FlagOr("dry_run", false) ? DryRun::Yes : DryRun::No;
  change.mRequest.mChange = reader.Take(ReadChange(reader.Any("change")));
  for (const Result<Success>& checked :
       { reader.Finish(),
         CheckName("operator", change.mRequest.mOperator.value()),
         CheckName("operation_id", change.mRequest.mOperation.value()) }) {
    if (IsError(checked)) {
      return ErrorOf(checked);
    }
  }
  return change;
}

Result<OperatorQuestion>
OperatorRequestParser::ParseQuestion(std::string_view aPath,
                                     const Parameters& aParameters)
{
  const std::string_view name =
    aPath.starts_with(kPathPrefix) ? aPath.substr(kPathPrefix.size()) : "";
  for (const TopicKind& topic : kTopics) {
    if (name != topic.mName) {
      continue;
    }
    OperatorQuestion question;
    question.mTopic = topic.mTopic;
    ParameterReader reader(aParameters);
    topic.mRead(&reader, &question);
    const Result<Success> finished = reader.Finish();
    return IsError(finished) ? Result<OperatorQuestion>(ErrorOf(finished))
                             : Result<OperatorQuestion>(question);
  }
  return Fault(ErrorCode::NotFound, "there is no such path");
}

} // namespace verbenachute
