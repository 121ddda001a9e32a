#include <LibConfiguration/ConfigurationDocument.h>

#include <LibConfiguration/ConfigurationChecks.h>
#include <LibConfiguration/EntryJson.h>
#include <LibConfiguration/JsonObjectReader.h>

#include <algorithm>

namespace verbenachute {

namespace {

using Entry = ConfigurationDocument::Entry;

Error
Invalid(std::string aMessage)
{
  return Error{
    Step::Configuration, ErrorCode::InvalidInput, "", std::move(aMessage)
  };
}

Error
Twice(const char* aKind, const std::string& aName)
{
  return Invalid(std::string(aKind) + " '" + aName + "' stands twice");
}

Result<DomainState>
ParseDomainState(const std::string& aText)
{
  if (aText == "in") {
    return DomainState::In;
  }
  if (aText == "out") {
    return DomainState::Out;
  }
  return Invalid("'" + aText + "' is no state of a failure domain: in or out");
}

std::vector<Entry>
DomainEntries(const ConfigurationContent& aContent)
{
  std::vector<Entry> entries;
  for (const auto& [name, domain] : aContent.mDomains) {
    Json::Value value;
    value["name"] = name.value();
    value["region"] = domain.mRegion.value();
    value["state"] = domain.mState == DomainState::In ? "in" : "out";
    const auto labels = aContent.mDomainLabels.find(name);
    if (labels != aContent.mDomainLabels.end()) {
      value["labels"] = LabelsJson(labels->second);
    }
    entries.push_back({ name.value(), value });
  }
  return entries;
}

std::vector<Entry>
TargetEntries(const ConfigurationContent& aContent)
{
  std::vector<Entry> entries;
  for (const TargetEntry& target : aContent.mTargets->Entries()) {
    entries.push_back({ target.mName.value(), TargetJson(target) });
  }
  return entries;
}

std::vector<Entry>
LabelEntries(const ConfigurationContent& aContent)
{
  std::vector<Entry> entries;
  for (const auto& [target, labels] : aContent.mTargetLabels.All()) {
    Json::Value value;
    value["target"] = target.value();
    value["labels"] = LabelsJson(*labels);
    entries.push_back({ target.value(), value });
  }
  return entries;
}

std::vector<Entry>
SelectorEntries(const ConfigurationContent& aContent)
{
  std::vector<Entry> entries;
  for (const auto& [name, selector] : aContent.mSelectors) {
    entries.push_back({ name, SelectorJson(selector) });
  }
  return entries;
}

std::vector<Entry>
PolicyEntries(const ConfigurationContent& aContent)
{
  std::vector<Entry> entries;
  for (const SteeringRule& rule : aContent.mPolicy) {
    entries.push_back({ rule.mName, SteeringRuleJson(rule) });
  }
  return entries;
}

std::vector<Entry>
ProposalEntries(const ConfigurationContent& aContent)
{
  std::vector<Entry> entries;
  for (const auto& [id, proposal] : aContent.mProposals) {
    entries.push_back({ id.value(), ProposalJson(proposal) });
  }
  return entries;
}

std::vector<Entry>
HistoryEntries(const ConfigurationContent& aContent)
{
  std::vector<Entry> entries;
  for (const HistoryEntry& entry : aContent.mHistory) {
    entries.push_back({ entry.mOperation.value(), HistoryJson(entry) });
  }
  return entries;
}

} // namespace

const std::vector<ConfigurationDocument::SectionKind>&
ConfigurationDocument::Kinds()
{
  using Self = ConfigurationDocument;
  static const std::vector<SectionKind> kKinds = {
    { "domains", &Self::AddDomain, DomainEntries },
    { "targets", &Self::AddTarget, TargetEntries },
    { "labels", &Self::AddLabels, LabelEntries },
    { "selectors", &Self::AddSelector, SelectorEntries },
    { "policy", &Self::AddRule, PolicyEntries },
    { "proposals", &Self::AddProposal, ProposalEntries },
    { "history", &Self::AddHistory, HistoryEntries },
  };
  return kKinds;
}

std::vector<ConfigurationDocument::Section>
ConfigurationDocument::Sections(const ConfigurationContent& aContent)
{
  std::vector<Section> sections;
  for (const SectionKind& kind : Kinds()) {
    std::vector<Entry> entries = kind.mEntries(aContent);
    if (!entries.empty()) {
      sections.push_back({ kind.mName, std::move(entries) });
    }
  }
  return sections;
}

bool
ConfigurationDocument::IsSection(const std::string& aName)
{
  return std::any_of(
    Kinds().begin(), Kinds().end(), [&aName](const SectionKind& aKind) {
      return aName == aKind.mName;
    });
}

Result<Success>
ConfigurationDocument::Add(const std::string& aSection,
                           const Json::Value& aEntry)
{
  for (const SectionKind& kind : Kinds()) {
    if (aSection == kind.mName) {
      return (this->*kind.mAdd)(aEntry);
    }
  }
  return Invalid("unknown section '" + aSection + "'");
}

Result<Success>
ConfigurationDocument::AddDomain(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "failure domain");
  DomainEntry domain;
  domain.mName = FailureDomain(reader.Text("name"));
  domain.mRegion = Region(reader.Text("region"));
  domain.mState = reader.Take(ParseDomainState(reader.TextOr("state", "in")));
  if (reader.Has("labels")) {
    mContent.mDomainLabels[domain.mName] =
      reader.Take(ReadLabels(reader.Any("labels")));
  }
  Result<Success> finished = reader.Finish();
  if (IsError(finished)) {
    return finished;
  }
  if (!mContent.mDomains.emplace(domain.mName, domain).second) {
    return Twice("failure domain", domain.mName.value());
  }
  return Success{};
}

Result<Success>
ConfigurationDocument::AddTarget(const Json::Value& aValue)
{
  const Result<TargetEntry> target = ReadTarget(aValue);
  if (IsError(target)) {
    return ErrorOf(target);
  }
  mTargets.push_back(ValueOf(target));
  return Success{};
}

Result<Success>
ConfigurationDocument::AddLabels(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "labels entry");
  const TargetName target(reader.Text("target"));
  const LabelSet labels = reader.Take(ReadLabels(reader.Any("labels")));
  Result<Success> finished = reader.Finish();
  if (IsError(finished)) {
    return finished;
  }
  for (const auto& [key, value] : labels) {
    Result<Success> checked = CheckLabel(key, value);
    if (IsError(checked)) {
      return checked;
    }
  }
  if (!mTargetLabels.emplace(target, labels).second) {
    return Twice("labels of target", target.value());
  }
  return Success{};
}

Result<Success>
ConfigurationDocument::AddSelector(const Json::Value& aValue)
{
  const Result<Selector> selector = ReadSelector(aValue);
  if (IsError(selector)) {
    return ErrorOf(selector);
  }
  const std::string& name = ValueOf(selector).mName;
  if (!mContent.mSelectors.emplace(name, ValueOf(selector)).second) {
    return Twice("selector", name);
  }
  return Success{};
}

Result<Success>
ConfigurationDocument::AddRule(const Json::Value& aValue)
{
  const Result<SteeringRule> rule = ReadSteeringRule(aValue);
  if (IsError(rule)) {
    return ErrorOf(rule);
  }
  mContent.mPolicy.push_back(ValueOf(rule));
  return Success{};
}

Result<Success>
ConfigurationDocument::AddProposal(const Json::Value& aValue)
{
  const Result<Proposal> proposal = ReadProposal(aValue);
  if (IsError(proposal)) {
    return ErrorOf(proposal);
  }
  const ProposalId& id = ValueOf(proposal).mId;
  if (!mContent.mProposals.emplace(id, ValueOf(proposal)).second) {
    return Twice("proposal", id.value());
  }
  return Success{};
}

Result<Success>
ConfigurationDocument::AddHistory(const Json::Value& aValue)
{
  const Result<HistoryEntry> entry = ReadHistory(aValue);
  if (IsError(entry)) {
    return ErrorOf(entry);
  }
  mContent.mHistory.push_back(ValueOf(entry));
  return Success{};
}

Result<Success>
ConfigurationDocument::CheckTargets() const
{
  std::set<TargetName> names;
  for (const TargetEntry& target : mTargets) {
    Result<Success> checked = CheckTarget(target, mContent);
    if (IsError(checked)) {
      return checked;
    }
    if (!names.insert(target.mName).second) {
      return Twice("target", target.mName.value());
    }
  }
  for (const auto& [target, labels] : mTargetLabels) {
    if (!names.contains(target)) {
      return Invalid("labels name the unknown target '" + target.value() + "'");
    }
  }
  return Success{};
}

Result<std::shared_ptr<const Configuration>>
ConfigurationDocument::Build(Revision aRevision)
{
  Result<Success> checked = CheckTargets();
  if (IsError(checked)) {
    return ErrorOf(checked);
  }
  mContent.mRevision = aRevision;
  mContent.mTargets = std::make_shared<TargetTable>(mTargets);
  mContent.mTargetLabels = LabelTable(mTargetLabels);
  return Configuration::Create(std::move(mContent));
}

} // namespace verbenachute
