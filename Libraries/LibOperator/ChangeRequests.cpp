#include <LibOperator/ChangeRequests.h>

#include <LibConfiguration/EditJson.h>
#include <LibConfiguration/EntryJson.h>
#include <LibConfiguration/JsonObjectReader.h>
#include <LibConfiguration/OperatorRequestParser.h>
#include <LibCore/SocketAddressText.h>
#include <LibJson/JsonText.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <limits>
#include <sstream>

namespace verbenachute {

namespace {

LabelSubject
ReadSubject(ToolInput* aInput)
{
  const std::string kind = aInput->Word(0);
  if (kind != "target" && kind != "domain") {
    aInput->Fail("'" + kind + "' must be target or domain");
  }
  return kind == "domain" ? LabelSubject(FailureDomain(aInput->Word(1)))
                          : LabelSubject(TargetName(aInput->Word(1)));
}

Edit
BuildSetLabel(ToolInput* aInput)
{
  const std::string label = aInput->Word(2);
  const std::size_t equals = label.find('=');
  if (equals == std::string::npos) {
    aInput->Fail("label '" + label + "' must have the form KEY=VALUE");
    return SetLabel{};
  }
  return SetLabel{ ReadSubject(aInput),
                   label.substr(0, equals),
                   label.substr(equals + 1) };
}

Edit
BuildClearLabel(ToolInput* aInput)
{
  return ClearLabel{ ReadSubject(aInput), aInput->Word(2) };
}

std::vector<CallerId>
ReadCallers(const ToolInput& aInput)
{
  std::set<std::string> names;
  std::istringstream stream(aInput.Text("callers"));
  for (std::string name; std::getline(stream, name, ',');) {
    names.insert(name);
  }
  std::vector<CallerId> callers;
  callers.reserve(names.size());
  for (const std::string& name : names) {
    callers.emplace_back(name);
  }
  return callers;
}

Edit
BuildSetSelector(ToolInput* aInput)
{
  const Result<LabelExpression> matches =
    LabelExpression::Create(aInput->Word(1));
  const Result<SelectorEffect> effect = ParseSelectorEffect(aInput->Word(2));
  if (IsError(matches)) {
    aInput->Fail(ErrorOf(matches).mMessage);
    return SetSelector{};
  }
  if (IsError(effect)) {
    aInput->Fail(ErrorOf(effect).mMessage);
    return SetSelector{};
  }
  return SetSelector{
    { aInput->Word(0), ValueOf(matches), ValueOf(effect), ReadCallers(*aInput) }
  };
}

Edit
BuildRemoveSelector(ToolInput* aInput)
{
  return RemoveSelector{ aInput->Word(0) };
}

Edit
BuildTakeDomainOut(ToolInput* aInput)
{
  return TakeDomainOut{ FailureDomain(aInput->Word(0)) };
}

Edit
BuildBringDomainIn(ToolInput* aInput)
{
  return BringDomainIn{ FailureDomain(aInput->Word(0)) };
}

Edit
BuildRegisterDomain(ToolInput* aInput)
{
  return RegisterDomain{ FailureDomain(aInput->Word(0)),
                         Region(aInput->Word(1)) };
}

Edit
BuildRegisterTarget(ToolInput* aInput)
{
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint32_t>::max();
  TargetEntry target;
  target.mName = TargetName(aInput->Word(0));
  target.mService = ServiceName(aInput->Required("service"));
  target.mAddress = aInput->Address("address");
  target.mDomain = FailureDomain(aInput->Required("domain"));
  target.mSlots = aInput->Number("slots", 1, kMost);
  target.mConnections = aInput->Number("connections", 1, kMost);
  return RegisterTarget{ target };
}

Edit
BuildRemoveTarget(ToolInput* aInput)
{
  return RemoveTarget{ TargetName(aInput->Word(0)) };
}

Result<SetPolicy>
ReadPolicy(const std::string& aText)
{
  const Result<Json::Value> parsed =
    ParseJson(aText, OperatorRequestParser::kChangeBytes);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonObjectReader reader(ValueOf(parsed), "policy");
  SetPolicy policy;
  for (const Json::Value* rule : reader.Elements("policy")) {
    policy.mRules.push_back(reader.Take(ReadSteeringRule(*rule)));
  }
  const Result<Success> finished = reader.Finish();
  return IsError(finished) ? Result<SetPolicy>(ErrorOf(finished))
                           : Result<SetPolicy>(policy);
}

Edit
BuildSetPolicy(ToolInput* aInput)
{
  const std::string path = aInput->Required("file");
  std::ifstream file(path);
  const std::string text{ std::istreambuf_iterator<char>(file),
                          std::istreambuf_iterator<char>() };
  if (!file) {
    aInput->Fail("--file: '" + path + "' can't be read");
    return SetPolicy{};
  }
  const Result<SetPolicy> policy = ReadPolicy(text);
  if (IsError(policy)) {
    aInput->Fail(path + ": " + ErrorOf(policy).mMessage);
    return SetPolicy{};
  }
  return ValueOf(policy);
}

struct EditCommand
{
  std::string_view mName;
  std::size_t mWords;
  EditBuilder mBuild;
};

constexpr EditCommand kEditCommands[] = {
  { "label set", 3, BuildSetLabel },
  { "label clear", 3, BuildClearLabel },
  { "selector set", 3, BuildSetSelector },
  { "selector remove", 1, BuildRemoveSelector },
  { "domain out", 1, BuildTakeDomainOut },
  { "domain in", 1, BuildBringDomainIn },
  { "domain register", 2, BuildRegisterDomain },
  { "target register", 1, BuildRegisterTarget },
  { "target remove", 1, BuildRemoveTarget },
  { "policy set", 0, BuildSetPolicy },
};

HttpRequest
ChangeRequestOf(const Change& aChange, ToolInput* aInput)
{
  Json::Value body;
  body["operator"] = aInput->Required("operator");
  body["operation_id"] = aInput->Required("operation_id");
  body["dry_run"] = aInput->Flag("dry_run");
  body["change"] = ChangeJson(aChange);
  HttpRequest request;
  request.mMethod = HttpMethod::Post;
  request.mPath = std::string(OperatorRequestParser::kChangePath);
  request.mBody = CompactJson(body);
  return request;
}

CoverageLoss
ReadOverride(ToolInput* aInput)
{
  return aInput->Flag("override") ? CoverageLoss::Accepted
                                  : CoverageLoss::Refused;
}

} // namespace

EditBuilder
FindEditBuilder(std::string_view aCommand)
{
  for (const EditCommand& command : kEditCommands) {
    if (command.mName == aCommand) {
      return command.mBuild;
    }
  }
  return nullptr;
}

HttpRequest
EditRequest(std::string_view aCommand, ToolInput* aInput)
{
  const Edit edit = FindEditBuilder(aCommand)(aInput);
  return ChangeRequestOf(MakeEdit{ edit, ReadOverride(aInput) }, aInput);
}

HttpRequest
ProposeRequest(ToolInput* aInput)
{
  const std::vector<std::string>& words = aInput->Words();
  const std::string name = aInput->Word(0) + " " + aInput->Word(1);
  for (const EditCommand& command : kEditCommands) {
    if (command.mName != name) {
      continue;
    }
    ToolInput rest = aInput->WithWords({ words.begin() + 2, words.end() });
    if (rest.Words().size() != command.mWords) {
      aInput->Fail("'" + name + "' takes " + std::to_string(command.mWords) +
                   " words");
    }
    const Edit edit = command.mBuild(&rest);
    const Result<Success> checked = rest.Check();
    if (IsError(checked)) {
      aInput->Fail(ErrorOf(checked).mMessage);
    }
    return ChangeRequestOf(Propose{ edit, ReadOverride(aInput) }, aInput);
  }
  aInput->Fail("'" + name + "' can't be proposed");
  return {};
}

HttpRequest
ApproveRequest(ToolInput* aInput)
{
  return ChangeRequestOf(Approve{ ProposalId(aInput->Word(0)) }, aInput);
}

HttpRequest
RejectRequest(ToolInput* aInput)
{
  return ChangeRequestOf(Reject{ ProposalId(aInput->Word(0)) }, aInput);
}

} // namespace verbenachute
