#include "TestConfigurations.h"

#include <LibConfiguration/EditJson.h>

namespace verbenachute {

namespace {

const OperatorName kAna("ana");
const OperatorName kAutopilot("autopilot");

/// Applies a change that must be accepted.
ConfigurationPointer
Applied(const ConfigurationPointer& aBefore, const ChangeRequest& aRequest)
{
  const Result<ChangeOutcome> outcome =
    ConfigurationEditor::Apply(aBefore, aRequest);
  REQUIRE_MESSAGE(!IsError(outcome),
                  (IsError(outcome) ? ErrorOf(outcome).mMessage : ""));
  return ValueOf(outcome).mConfiguration;
}

ErrorCode
CodeOf(const ConfigurationPointer& aBefore, const ChangeRequest& aRequest)
{
  const Result<ChangeOutcome> outcome =
    ConfigurationEditor::Apply(aBefore, aRequest);
  REQUIRE(IsError(outcome));
  return ErrorOf(outcome).mCode;
}

ChangeRequest
EditBy(const OperatorName& aOperator, const Edit& aEdit)
{
  ChangeRequest request =
    RequestOf("edit-" + EditSummary(aEdit).substr(0, 3), MakeEdit{ aEdit });
  request.mOperation = OperationId("edit-1");
  request.mOperator = aOperator;
  return request;
}

ChangeRequest
Overriding(ChangeRequest aRequest)
{
  std::get<MakeEdit>(aRequest.mChange).mCoverageLoss = CoverageLoss::Accepted;
  return aRequest;
}

/// Ana may do everything, the autopilot may label "tier" in caxias-a.
ConfigurationPointer
WithPolicy()
{
  const std::set<std::string> all{ "*" };
  return Applied(SmallConfiguration(),
                 RequestOf("policy",
                           MakeEdit{ SetPolicy{ { { "ana",
                                                    { "ana" },
                                                    { SteeringScope::Labels,
                                                      SteeringScope::Selectors,
                                                      SteeringScope::Domains,
                                                      SteeringScope::Targets,
                                                      SteeringScope::Policy },
                                                    all,
                                                    all },
                                                  { "autopilot",
                                                    { "autopilot" },
                                                    { SteeringScope::Labels },
                                                    { "tier" },
                                                    { "caxias-a" } } } } }));
}

Admittance
AdmittanceOf(const ConfigurationPointer& aConfiguration,
             const char* aTarget,
             const char* aCaller)
{
  return aConfiguration->MayTakeNewWork(TargetName(aTarget), CallerId(aCaller))
    .mAdmittance;
}

Edit
SelectorEdit(const char* aName,
             const char* aExpression,
             SelectorEffect aEffect,
             std::vector<CallerId> aCallers)
{
  return SetSelector{ { aName,
                        ValueOf(LabelExpression::Create(aExpression)),
                        aEffect,
                        std::move(aCallers) } };
}

} // namespace

TEST_CASE("Selectors and failure domains decide who is served")
{
  ConfigurationPointer configuration =
    Applied(SmallConfiguration(), LabelRequest("a", "tier", "gold"));
  CHECK(configuration->CurrentRevision() == Revision(2));
  configuration =
    Applied(configuration,
            RequestOf("b",
                      MakeEdit{ SelectorEdit("gold",
                                             "tier=gold",
                                             SelectorEffect::ServeOnly,
                                             { CallerId("van-1") }) }));
  CHECK(AdmittanceOf(configuration, "t-1", "van-1") == Admittance::Admitted);
  CHECK(AdmittanceOf(configuration, "t-1", "van-2") ==
        Admittance::NotForCaller);
  CHECK(AdmittanceOf(configuration, "t-2", "van-2") == Admittance::Admitted);
  CHECK(AdmittanceOf(configuration, "t-3", "van-2") ==
        Admittance::UnknownTarget);
  configuration =
    Applied(configuration,
            RequestOf("c",
                      MakeEdit{ SelectorEdit("spare",
                                             "domain=caxias-a,has(tier)",
                                             SelectorEffect::LeaveAlone,
                                             {}) }));
  CHECK(AdmittanceOf(configuration, "t-1", "van-1") == Admittance::LeftAlone);
  configuration =
    Applied(configuration,
            Overriding(RequestOf(
              "d", MakeEdit{ TakeDomainOut{ FailureDomain("bento-c") } })));
  CHECK(AdmittanceOf(configuration, "t-2", "van-1") == Admittance::NoNewWork);
}

TEST_CASE("A repeat is applied once and a reused operation id is refused")
{
  const ChangeRequest request = LabelRequest("op-1", "tier", "gold");
  ConfigurationPointer first = Applied(SmallConfiguration(), request);
  first = Applied(first, LabelRequest("op-2", "tier", "lead"));
  const Result<ChangeOutcome> again =
    ConfigurationEditor::Apply(first, request);
  REQUIRE(!IsError(again));
  CHECK(ValueOf(again).mConfiguration == first);
  CHECK(ValueOf(again).mRevision == Revision(2));
  CHECK(CodeOf(first, LabelRequest("op-1", "tier", "tin")) ==
        ErrorCode::Conflict);
}

TEST_CASE("Edits that cannot be are refused")
{
  struct Row
  {
    Edit mEdit;
    ErrorCode mCode;
  };
  TargetEntry moved = *SmallConfiguration()->FindTarget(TargetName("t-1"));
  moved.mDomain = FailureDomain("bento-c");
  TargetEntry slotless = moved;
  slotless.mName = TargetName("t-9");
  slotless.mSlots = 0;
  const std::vector<Row> rows = {
    { SetLabel{ TargetName("t-9"), "a", "b" }, ErrorCode::NotFound },
    { SetLabel{ FailureDomain("x"), "a", "b" }, ErrorCode::NotFound },
    { SetLabel{ TargetName("t-1"), "service", "b" }, ErrorCode::InvalidInput },
    { SetLabel{ TargetName("t-1"), "a b", "b" }, ErrorCode::InvalidInput },
    { SetLabel{ TargetName("t-1"), "a", "" }, ErrorCode::InvalidInput },
    { RemoveSelector{ "x" }, ErrorCode::NotFound },
    { SelectorEdit("s", "*", SelectorEffect::ServeOnly, {}),
      ErrorCode::InvalidInput },
    { SelectorEdit("s", "*", SelectorEffect::NoNewWork, { CallerId("v") }),
      ErrorCode::InvalidInput },
    { TakeDomainOut{ FailureDomain("x") }, ErrorCode::NotFound },
    { RegisterDomain{ FailureDomain("bento-c"), Region("other") },
      ErrorCode::Conflict },
    { RegisterTarget{ moved }, ErrorCode::Conflict },
    { RegisterTarget{ slotless }, ErrorCode::InvalidInput },
    { RemoveTarget{ TargetName("t-9") }, ErrorCode::NotFound },
  };
  for (const Row& row : rows) {
    CAPTURE(EditSummary(row.mEdit));
    CHECK(CodeOf(SmallConfiguration(), Overriding(EditBy(kAna, row.mEdit))) ==
          row.mCode);
  }
}

TEST_CASE("The last target is taken away only with an override")
{
  const ConfigurationPointer one =
    Applied(SmallConfiguration(),
            EditBy(kAna, TakeDomainOut{ FailureDomain("caxias-a") }));
  const std::vector<Edit> losses = {
    TakeDomainOut{ FailureDomain("bento-c") },
    RemoveTarget{ TargetName("t-2") },
    SelectorEdit("s", "target=t-2", SelectorEffect::NoNewWork, {}),
    SelectorEdit("s", "*", SelectorEffect::ServeOnly, { CallerId("van-1") }),
  };
  for (const Edit& loss : losses) {
    CAPTURE(EditSummary(loss));
    ChangeRequest request = EditBy(kAna, loss);
    request.mOperation = OperationId("loss");
    CHECK(CodeOf(one, request) == ErrorCode::Conflict);
    CHECK(Applied(one, Overriding(request)));
  }
  // A shard that only one target has, of a service that has two.
  ChangeRequest shard =
    EditBy(kAna, TakeDomainOut{ FailureDomain("caxias-a") });
  shard.mGroups = { { "shard 3", { TargetName("t-1") } } };
  CHECK(CodeOf(SmallConfiguration(), shard) == ErrorCode::Conflict);
}

TEST_CASE("The policy decides who may steer without approval")
{
  const ConfigurationPointer before = WithPolicy();
  struct Row
  {
    OperatorName mOperator;
    Edit mEdit;
    bool mAllowed;
  };
  const std::vector<Row> rows = {
    { kAna, TakeDomainOut{ FailureDomain("caxias-a") }, true },
    { kAutopilot, TakeDomainOut{ FailureDomain("caxias-a") }, false },
    { kAutopilot, SetLabel{ TargetName("t-1"), "tier", "a" }, true },
    { kAutopilot, SetLabel{ TargetName("t-1"), "state", "a" }, false },
    { kAutopilot, SetLabel{ TargetName("t-2"), "tier", "a" }, false },
    { kAutopilot, SetPolicy{}, false },
    { OperatorName("eve"), SetLabel{ TargetName("t-1"), "tier", "a" }, false },
  };
  for (const Row& row : rows) {
    CAPTURE(EditSummary(row.mEdit));
    const ChangeRequest request = EditBy(row.mOperator, row.mEdit);
    if (row.mAllowed) {
      CHECK(Applied(before, request));
    } else {
      CHECK(CodeOf(before, request) == ErrorCode::Forbidden);
    }
  }
}

TEST_CASE("A proposal is approved by another operator, if it still applies")
{
  ChangeRequest propose =
    RequestOf("p-1", Propose{ SetLabel{ TargetName("t-1"), "state", "new" } });
  propose.mOperator = kAutopilot;
  const ConfigurationPointer proposed = Applied(WithPolicy(), propose);
  CHECK(proposed->Content().mTargetLabels.LabelsOf(TargetName("t-1")).empty());

  ChangeRequest approve = RequestOf("a-1", Approve{ ProposalId("p-1") });
  approve.mOperator = kAutopilot;
  CHECK(CodeOf(proposed, approve) == ErrorCode::Forbidden);
  approve.mOperator = kAna;
  const ConfigurationPointer approved = Applied(proposed, approve);
  CHECK(approved->Content().mProposals.empty());
  CHECK(
    approved->Content().mTargetLabels.LabelsOf(TargetName("t-1")).at("state") ==
    "new");
  CHECK(Applied(approved, approve) == approved);

  // An unrelated change leaves the proposal alone; one to the same label or
  // the loss of the target makes it a conflict.
  CHECK(Applied(Applied(proposed, LabelRequest("x", "tier", "a")), approve));
  CHECK(CodeOf(Applied(proposed, LabelRequest("x", "state", "old")), approve) ==
        ErrorCode::Conflict);
  CHECK(CodeOf(Applied(
                 proposed,
                 RequestOf("x", MakeEdit{ RemoveTarget{ TargetName("t-1") } })),
               approve) == ErrorCode::Conflict);

  const ConfigurationPointer rejected =
    Applied(proposed, RequestOf("r-1", Reject{ ProposalId("p-1") }));
  CHECK(CodeOf(rejected, approve) == ErrorCode::NotFound);
}

TEST_CASE("The history is bounded and keeps the newest entries")
{
  ConfigurationPointer configuration = SmallConfiguration();
  const std::size_t count = ConfigurationEditor::kHistoryEntries + 5;
  for (std::size_t i = 0; i < count; ++i) {
    configuration =
      Applied(configuration, LabelRequest("op-" + std::to_string(i), "a", "b"));
  }
  const std::vector<HistoryEntry>& history = configuration->Content().mHistory;
  CHECK(history.size() == ConfigurationEditor::kHistoryEntries);
  CHECK(history.back().mRevision == configuration->CurrentRevision());
  CHECK(history.front().mOperation == OperationId("op-5"));
}

} // namespace verbenachute
