#include <LibConfiguration/EntryJson.h>

#include <LibConfiguration/EditJson.h>
#include <LibConfiguration/JsonObjectReader.h>
#include <LibCore/SocketAddressText.h>
#include <LibJson/JsonText.h>

#include <algorithm>
#include <limits>

namespace verbenachute {

namespace {

std::uint32_t
ReadCount(JsonObjectReader* aReader, const char* aField)
{
  // A larger number is clamped to the maximum, which every check rejects.
  constexpr std::uint64_t kLargest = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
    std::min(aReader->Number(aField), kLargest));
}

std::set<std::string>
ReadSet(JsonObjectReader* aReader, const char* aField)
{
  const std::vector<std::string> texts = aReader->TextsOrNone(aField);
  return { texts.begin(), texts.end() };
}

template<typename Value>
Result<Value>
Finished(const JsonObjectReader& aReader, Value aValue)
{
  Result<Success> finished = aReader.Finish();
  return IsError(finished) ? Result<Value>(ErrorOf(finished))
                           : Result<Value>(std::move(aValue));
}

Result<DifferenceKind>
ParseDifferenceKind(const std::string& aText)
{
  for (const DifferenceKind kind : { DifferenceKind::TargetLabel,
                                     DifferenceKind::DomainLabel,
                                     DifferenceKind::Selector,
                                     DifferenceKind::Domain,
                                     DifferenceKind::Target,
                                     DifferenceKind::Policy }) {
    if (aText == DifferenceKindName(kind)) {
      return kind;
    }
  }
  return Error{ Step::Parse,
                ErrorCode::InvalidInput,
                "",
                "'" + aText + "' is no kind of difference" };
}

} // namespace

Json::Value
TargetJson(const TargetEntry& aTarget)
{
  Json::Value value;
  value["name"] = aTarget.mName.value();
  value["service"] = aTarget.mService.value();
  value["address"] = SocketAddressText(aTarget.mAddress);
  value["domain"] = aTarget.mDomain.value();
  value["slots"] = aTarget.mSlots;
  value["connections"] = aTarget.mConnections;
  return value;
}

Result<TargetEntry>
ReadTarget(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "target");
  TargetEntry target;
  target.mName = TargetName(reader.Text("name"));
  target.mService = ServiceName(reader.Text("service"));
  target.mAddress = reader.Take(ParseSocketAddress(reader.Text("address")));
  target.mDomain = FailureDomain(reader.Text("domain"));
  target.mSlots = ReadCount(&reader, "slots");
  target.mConnections = ReadCount(&reader, "connections");
  return Finished(reader, std::move(target));
}

Json::Value
LabelsJson(const LabelSet& aLabels)
{
  Json::Value value(Json::objectValue);
  for (const auto& [key, text] : aLabels) {
    value[key] = text;
  }
  return value;
}

Result<LabelSet>
ReadLabels(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "labels");
  LabelSet labels;
  if (aValue.isObject()) {
    for (const std::string& key : aValue.getMemberNames()) {
      labels[key] = reader.Text(key.c_str());
    }
  }
  return Finished(reader, std::move(labels));
}

Json::Value
SelectorJson(const Selector& aSelector)
{
  Json::Value value;
  value["name"] = aSelector.mName;
  value["matches"] = aSelector.mMatches.Text();
  value["effect"] = SelectorEffectName(aSelector.mEffect);
  if (aSelector.mEffect == SelectorEffect::ServeOnly) {
    value["callers"] = Json::Value(Json::arrayValue);
    for (const CallerId& caller : aSelector.mCallers) {
      value["callers"].append(caller.value());
    }
  }
  return value;
}

Result<Selector>
ReadSelector(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "selector");
  Selector selector;
  selector.mName = reader.Text("name");
  selector.mMatches =
    reader.Take(LabelExpression::Create(reader.Text("matches")));
  selector.mEffect = reader.Take(ParseSelectorEffect(reader.Text("effect")));
  for (const std::string& caller : ReadSet(&reader, "callers")) {
    selector.mCallers.emplace_back(caller);
  }
  return Finished(reader, std::move(selector));
}

Json::Value
SteeringRuleJson(const SteeringRule& aRule)
{
  Json::Value value;
  value["name"] = aRule.mName;
  value["operators"] = TextsJson(aRule.mOperators);
  value["scopes"] = Json::Value(Json::arrayValue);
  for (const SteeringScope scope : aRule.mScopes) {
    value["scopes"].append(SteeringScopeName(scope));
  }
  value["label_keys"] = TextsJson(aRule.mLabelKeys);
  value["domains"] = TextsJson(aRule.mDomains);
  return value;
}

Result<SteeringRule>
ReadSteeringRule(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "steering rule");
  SteeringRule rule;
  rule.mName = reader.Text("name");
  rule.mOperators = ReadSet(&reader, "operators");
  for (const std::string& scope : reader.Texts("scopes")) {
    rule.mScopes.insert(reader.Take(ParseSteeringScope(scope)));
  }
  rule.mLabelKeys = ReadSet(&reader, "label_keys");
  rule.mDomains = ReadSet(&reader, "domains");
  return Finished(reader, std::move(rule));
}

Json::Value
DifferenceJson(const Difference& aDifference)
{
  Json::Value value;
  value["kind"] = DifferenceKindName(aDifference.mKind);
  value["name"] = aDifference.mName;
  if (!aDifference.mKey.empty()) {
    value["key"] = aDifference.mKey;
  }
  if (aDifference.mBefore) {
    value["before"] = *aDifference.mBefore;
  }
  if (aDifference.mAfter) {
    value["after"] = *aDifference.mAfter;
  }
  return value;
}

Result<Difference>
ReadDifference(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "difference");
  Difference difference;
  difference.mKind = reader.Take(ParseDifferenceKind(reader.Text("kind")));
  difference.mName = reader.Text("name");
  difference.mKey = reader.TextOr("key", "");
  difference.mBefore = reader.OptionalText("before");
  difference.mAfter = reader.OptionalText("after");
  return Finished(reader, std::move(difference));
}

Json::Value
ProposalJson(const Proposal& aProposal)
{
  Json::Value value;
  value["id"] = aProposal.mId.value();
  value["proposer"] = aProposal.mProposer.value();
  value["edit"] = EditJson(aProposal.mEdit);
  value["override"] = aProposal.mCoverageLoss == CoverageLoss::Accepted;
  value["proposed_at"] = Json::UInt64(aProposal.mProposedAt.value());
  value["differences"] = Json::Value(Json::arrayValue);
  for (const Difference& difference : aProposal.mDifferences) {
    value["differences"].append(DifferenceJson(difference));
  }
  return value;
}

Result<Proposal>
ReadProposal(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "proposal");
  Proposal proposal;
  proposal.mId = ProposalId(reader.Text("id"));
  proposal.mProposer = OperatorName(reader.Text("proposer"));
  proposal.mEdit = reader.Take(ReadEdit(reader.Any("edit")));
  proposal.mCoverageLoss = reader.FlagOr("override", false)
                             ? CoverageLoss::Accepted
                             : CoverageLoss::Refused;
  proposal.mProposedAt = Revision(reader.Number("proposed_at"));
  for (const Json::Value* difference : reader.Elements("differences")) {
    proposal.mDifferences.push_back(reader.Take(ReadDifference(*difference)));
  }
  return Finished(reader, std::move(proposal));
}

Json::Value
HistoryJson(const HistoryEntry& aEntry)
{
  Json::Value value;
  value["revision"] = Json::UInt64(aEntry.mRevision.value());
  value["operation"] = aEntry.mOperation.value();
  value["operator"] = aEntry.mOperator.value();
  value["unix_ms"] = Json::UInt64(aEntry.mWallTime.count());
  value["digest"] = aEntry.mDigest;
  value["summary"] = aEntry.mSummary;
  return value;
}

Result<HistoryEntry>
ReadHistory(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "history");
  HistoryEntry entry;
  entry.mRevision = Revision(reader.Number("revision"));
  entry.mOperation = OperationId(reader.Text("operation"));
  entry.mOperator = OperatorName(reader.Text("operator"));
  entry.mWallTime = UnixMilliseconds(reader.Number("unix_ms"));
  entry.mDigest = reader.Text("digest");
  entry.mSummary = reader.Text("summary");
  return Finished(reader, std::move(entry));
}

} // namespace verbenachute
