#include <LibConfiguration/EditJson.h>

#include <LibConfiguration/EntryJson.h>
#include <LibConfiguration/JsonObjectReader.h>
#include <LibCore/Overloaded.h>

namespace verbenachute {

namespace {

Json::Value
Kind(const char* aKind)
{
  Json::Value value;
  value["kind"] = aKind;
  return value;
}

Json::Value
NamedKind(const char* aKind, const char* aField, const std::string& aName)
{
  Json::Value value = Kind(aKind);
  value[aField] = aName;
  return value;
}

Json::Value
LabelKind(const char* aKind, const LabelSubject& aSubject)
{
  if (const TargetName* target = std::get_if<TargetName>(&aSubject)) {
    return NamedKind(aKind, "target", target->value());
  }
  return NamedKind(aKind, "domain", std::get<FailureDomain>(aSubject).value());
}

Result<LabelSubject>
ReadSubject(JsonObjectReader* aReader)
{
  if (aReader->Has("target") == aReader->Has("domain")) {
    return Error{ Step::Parse,
                  ErrorCode::InvalidInput,
                  "",
                  "exactly one of 'target' and 'domain' must be given" };
  }
  if (aReader->Has("target")) {
    return LabelSubject(TargetName(aReader->Text("target")));
  }
  return LabelSubject(FailureDomain(aReader->Text("domain")));
}

Edit
ReadSetLabel(JsonObjectReader* aReader)
{
  SetLabel edit;
  edit.mSubject = aReader->Take(ReadSubject(aReader));
  edit.mKey = aReader->Text("key");
  edit.mValue = aReader->Text("value");
  return edit;
}

Edit
ReadClearLabel(JsonObjectReader* aReader)
{
  ClearLabel edit;
  edit.mSubject = aReader->Take(ReadSubject(aReader));
  edit.mKey = aReader->Text("key");
  return edit;
}

Edit
ReadSetSelector(JsonObjectReader* aReader)
{
  return SetSelector{ aReader->Take(ReadSelector(aReader->Any("selector"))) };
}

Edit
ReadRemoveSelector(JsonObjectReader* aReader)
{
  return RemoveSelector{ aReader->Text("name") };
}

Edit
ReadTakeDomainOut(JsonObjectReader* aReader)
{
  return TakeDomainOut{ FailureDomain(aReader->Text("domain")) };
}

Edit
ReadBringDomainIn(JsonObjectReader* aReader)
{
  return BringDomainIn{ FailureDomain(aReader->Text("domain")) };
}

Edit
ReadRegisterDomain(JsonObjectReader* aReader)
{
  RegisterDomain edit;
  edit.mDomain = FailureDomain(aReader->Text("domain"));
  edit.mRegion = Region(aReader->Text("region"));
  return edit;
}

Edit
ReadRegisterTarget(JsonObjectReader* aReader)
{
  return RegisterTarget{ aReader->Take(ReadTarget(aReader->Any("target"))) };
}

Edit
ReadRemoveTarget(JsonObjectReader* aReader)
{
  return RemoveTarget{ TargetName(aReader->Text("target")) };
}

Edit
ReadSetPolicy(JsonObjectReader* aReader)
{
  SetPolicy edit;
  for (const Json::Value* rule : aReader->Elements("rules")) {
    edit.mRules.push_back(aReader->Take(ReadSteeringRule(*rule)));
  }
  return edit;
}

struct EditKind
{
  const char* mName;
  Edit (*mRead)(JsonObjectReader* aReader);
};

constexpr EditKind kEditKinds[] = {
  { "set_label", ReadSetLabel },
  { "clear_label", ReadClearLabel },
  { "set_selector", ReadSetSelector },
  { "remove_selector", ReadRemoveSelector },
  { "take_domain_out", ReadTakeDomainOut },
  { "bring_domain_in", ReadBringDomainIn },
  { "register_domain", ReadRegisterDomain },
  { "register_target", ReadRegisterTarget },
  { "remove_target", ReadRemoveTarget },
  { "set_policy", ReadSetPolicy },
};

std::string
SubjectText(const LabelSubject& aSubject)
{
  if (const TargetName* target = std::get_if<TargetName>(&aSubject)) {
    return "target " + target->value();
  }
  return "domain " + std::get<FailureDomain>(aSubject).value();
}

} // namespace

Json::Value
EditJson(const Edit& aEdit)
{
  return std::visit(
    Overloaded{
      [](const SetLabel& aSet) {
        Json::Value value = LabelKind("set_label", aSet.mSubject);
        value["key"] = aSet.mKey;
        value["value"] = aSet.mValue;
        return value;
      },
      [](const ClearLabel& aClear) {
        Json::Value value = LabelKind("clear_label", aClear.mSubject);
        value["key"] = aClear.mKey;
        return value;
      },
      [](const SetSelector& aSet) {
        Json::Value value = Kind("set_selector");
        value["selector"] = SelectorJson(aSet.mSelector);
        return value;
      },
      [](const RemoveSelector& aRemove) {
        return NamedKind("remove_selector", "name", aRemove.mName);
      },
      [](const TakeDomainOut& aTake) {
        return NamedKind("take_domain_out", "domain", aTake.mDomain.value());
      },
      [](const BringDomainIn& aBring) {
        return NamedKind("bring_domain_in", "domain", aBring.mDomain.value());
      },
      [](const RegisterDomain& aRegister) {
        Json::Value value =
          NamedKind("register_domain", "domain", aRegister.mDomain.value());
        value["region"] = aRegister.mRegion.value();
        return value;
      },
      [](const RegisterTarget& aRegister) {
        Json::Value value = Kind("register_target");
        value["target"] = TargetJson(aRegister.mTarget);
        return value;
      },
      [](const RemoveTarget& aRemove) {
        return NamedKind("remove_target", "target", aRemove.mTarget.value());
      },
      [](const SetPolicy& aSet) {
        Json::Value value = Kind("set_policy");
        value["rules"] = Json::Value(Json::arrayValue);
        for (const SteeringRule& rule : aSet.mRules) {
          value["rules"].append(SteeringRuleJson(rule));
        }
        return value;
      },
    },
    aEdit);
}

Result<Edit>
ReadEdit(const Json::Value& aValue)
{
  JsonObjectReader reader(aValue, "edit");
  const std::string name = reader.Text("kind");
  for (const EditKind& kind : kEditKinds) {
    if (name != kind.mName) {
      continue;
    }
    Edit edit = kind.mRead(&reader);
    Result<Success> finished = reader.Finish();
    return IsError(finished) ? Result<Edit>(ErrorOf(finished))
                             : Result<Edit>(std::move(edit));
  }
  return Error{ Step::Parse,
                ErrorCode::InvalidInput,
                "",
                "'" + name + "' is no kind of edit" };
}

Json::Value
ChangeJson(const Change& aChange)
{
  return std::visit(
    Overloaded{
      [](const MakeEdit& aMake) {
        Json::Value value = Kind("edit");
        value["edit"] = EditJson(aMake.mEdit);
        value["override"] = aMake.mCoverageLoss == CoverageLoss::Accepted;
        return value;
      },
      [](const Propose& aPropose) {
        Json::Value value = Kind("propose");
        value["edit"] = EditJson(aPropose.mEdit);
        value["override"] = aPropose.mCoverageLoss == CoverageLoss::Accepted;
        return value;
      },
      [](const Approve& aApprove) {
        return NamedKind("approve", "proposal", aApprove.mProposal.value());
      },
      [](const Reject& aReject) {
        return NamedKind("reject", "proposal", aReject.mProposal.value());
      },
    },
    aChange);
}

std::string
EditSummary(const Edit& aEdit)
{
  return std::visit(Overloaded{
                      [](const SetLabel& aSet) {
                        return "set label " + aSet.mKey + "=" + aSet.mValue +
                               " on " + SubjectText(aSet.mSubject);
                      },
                      [](const ClearLabel& aClear) {
                        return "clear label " + aClear.mKey + " on " +
                               SubjectText(aClear.mSubject);
                      },
                      [](const SetSelector& aSet) {
                        return "set selector " + aSet.mSelector.mName + ": " +
                               SelectorEffectName(aSet.mSelector.mEffect) +
                               " where " + aSet.mSelector.mMatches.Text();
                      },
                      [](const RemoveSelector& aRemove) {
                        return "remove selector " + aRemove.mName;
                      },
                      [](const TakeDomainOut& aTake) {
                        return "take domain " + aTake.mDomain.value() + " out";
                      },
                      [](const BringDomainIn& aBring) {
                        return "bring domain " + aBring.mDomain.value() + " in";
                      },
                      [](const RegisterDomain& aRegister) {
                        return "register domain " + aRegister.mDomain.value();
                      },
                      [](const RegisterTarget& aRegister) {
                        return "register target " +
                               aRegister.mTarget.mName.value();
                      },
                      [](const RemoveTarget& aRemove) {
                        return "remove target " + aRemove.mTarget.value();
                      },
                      [](const SetPolicy& aSet) {
                        return "set a policy of " +
                               std::to_string(aSet.mRules.size()) + " rules";
                      },
                    },
                    aEdit);
}

std::string
ChangeSummary(const Change& aChange)
{
  return std::visit(
    Overloaded{
      [](const MakeEdit& aMake) { return EditSummary(aMake.mEdit); },
      [](const Propose& aPropose) {
        return "propose to " + EditSummary(aPropose.mEdit);
      },
      [](const Approve& aApprove) {
        return "approve " + aApprove.mProposal.value();
      },
      [](const Reject& aReject) {
        return "reject " + aReject.mProposal.value();
      },
    },
    aChange);
}

} // namespace verbenachute
