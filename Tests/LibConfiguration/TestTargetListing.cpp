#include "TestConfigurations.h"

#include <LibConfiguration/WriteTask.h>

namespace verbenachute {

namespace {

TargetEntry
Listed(const std::string& aName, const std::string& aDomain)
{
  return TargetEntry{ TargetName(aName),
                      ServiceName("painel-doca"),
                      SocketAddress{ "10.0.0.1", 80 },
                      FailureDomain(aDomain),
                      2,
                      26 };
}

TargetListing
Fleet(std::size_t aTargets)
{
  TargetListing listing;
  listing.mDomains = { { FailureDomain("caxias-a"), Region("sul-rs") },
                       { FailureDomain("bento-c"), Region("sul-rs") } };
  for (std::size_t i = 0; i < aTargets; ++i) {
    listing.mTargets.push_back(
      Listed("t-" + std::to_string(i), i % 2 == 0 ? "caxias-a" : "bento-c"));
  }
  return listing;
}

Result<ChangeOutcome>
Try(const ConfigurationPointer& aBase,
    const TargetListing& aListing,
    const std::string& aOperation,
    const Change& aChange)
{
  return ApplyTask(ListedChange{ RequestOf(aOperation, aChange),
                                 std::make_shared<TargetListing>(aListing) },
                   aBase);
}

ConfigurationPointer
Applied(const ConfigurationPointer& aBase,
        const TargetListing& aListing,
        const std::string& aOperation,
        const Edit& aEdit)
{
  const Result<ChangeOutcome> outcome =
    Try(aBase, aListing, aOperation, MakeEdit{ aEdit, CoverageLoss::Refused });
  REQUIRE_MESSAGE(!IsError(outcome),
                  (IsError(outcome) ? ErrorOf(outcome).mMessage : ""));
  return ValueOf(outcome).mConfiguration;
}

const SetLabel kFragile{ TargetName("t-1"), "state", "fragile" };

} // namespace

TEST_CASE("The first change needs no registered target and no bootstrap")
{
  const ConfigurationPointer first =
    Applied(nullptr, Fleet(1000), "op-1", kFragile);
  CHECK(first->CurrentRevision() == Revision(1));
  // What is kept does not grow with the fleet.
  CHECK(first->AllTargets() == std::vector{ TargetName("t-1") });
  CHECK(first->Content().mDomains.size() == 1);
  const Result<ConfigurationPointer> whole = WithListing(first, Fleet(1000));
  REQUIRE(!IsError(whole));
  CHECK(ValueOf(whole)->AllTargets().size() == 1000);
  CHECK(ValueOf(whole)->EffectiveLabels(TargetName("t-1")).at("state") ==
        "fragile");
}

TEST_CASE("Labels stay when their target leaves the listing and comes back")
{
  const ConfigurationPointer first =
    Applied(nullptr, Fleet(2), "op-1", kFragile);
  const ConfigurationPointer second =
    Applied(first,
            Fleet(1),
            "op-2",
            SetLabel{ FailureDomain("caxias-a"), "power", "grid" });
  const Result<ConfigurationPointer> whole = WithListing(second, Fleet(2));
  REQUIRE(!IsError(whole));
  CHECK(ValueOf(whole)->EffectiveLabels(TargetName("t-1")).at("state") ==
        "fragile");
  CHECK(ValueOf(whole)->EffectiveLabels(TargetName("t-0")).at("power") ==
        "grid");
  const ConfigurationPointer third =
    Applied(second, Fleet(2), "op-3", ClearLabel{ TargetName("t-1"), "state" });
  CHECK(third->AllTargets().empty());
}

TEST_CASE("A listed target takes the place of what was kept of it")
{
  const ConfigurationPointer first =
    Applied(nullptr, Fleet(2), "op-1", kFragile);
  TargetListing moved = Fleet(0);
  moved.mTargets.push_back(Listed("t-1", "caxias-a"));
  const Result<ConfigurationPointer> whole = WithListing(first, moved);
  REQUIRE(!IsError(whole));
  CHECK(ValueOf(whole)->FindTarget(TargetName("t-1"))->mDomain ==
        FailureDomain("caxias-a"));
}

TEST_CASE("Unknown names and registrations are errors and change nothing")
{
  struct Row
  {
    Edit mEdit;
    ErrorCode mCode;
  };
  const Row rows[] = {
    { SetLabel{ TargetName("t-9"), "state", "fragile" }, ErrorCode::NotFound },
    { TakeDomainOut{ FailureDomain("nowhere") }, ErrorCode::NotFound },
    { RegisterTarget{ Listed("t-7", "caxias-a") }, ErrorCode::InvalidInput },
    { RegisterDomain{ FailureDomain("x"), Region("r") },
      ErrorCode::InvalidInput },
    // Both targets are of one service: it would be left without any.
    { SetSelector{ { "all", {}, SelectorEffect::NoNewWork, {} } },
      ErrorCode::Conflict },
  };
  for (const Row& row : rows) {
    for (const Change& change :
         { Change(MakeEdit{ row.mEdit, CoverageLoss::Refused }),
           Change(Propose{ row.mEdit, CoverageLoss::Refused }) }) {
      const bool proposedLoss = std::holds_alternative<Propose>(change) &&
                                row.mCode == ErrorCode::Conflict;
      const Result<ChangeOutcome> tried =
        Try(nullptr, Fleet(2), "op-1", change);
      if (!proposedLoss) {
        REQUIRE(IsError(tried));
        CHECK(ErrorOf(tried).mCode == row.mCode);
      }
    }
  }
}

TEST_CASE("A change that was applied before is not applied again")
{
  const ConfigurationPointer first =
    Applied(nullptr, Fleet(2), "op-1", kFragile);
  const Result<ChangeOutcome> again =
    Try(first, Fleet(2), "op-1", MakeEdit{ kFragile, CoverageLoss::Refused });
  REQUIRE(!IsError(again));
  CHECK(ValueOf(again).mConfiguration == first);
  CHECK(ValueOf(again).mRevision == Revision(1));
}

TEST_CASE("A proposal made by one operator is approved by another")
{
  const TargetListing fleet = Fleet(4);
  const Result<ChangeOutcome> proposed =
    Try(nullptr, fleet, "op-1", Propose{ kFragile, CoverageLoss::Refused });
  REQUIRE(!IsError(proposed));
  ChangeRequest approval =
    RequestOf("op-2", Approve{ ProposalId(OperationId("op-1")) });
  approval.mOperator = OperatorName("bruno");
  const Result<ChangeOutcome> approved =
    ApplyTask(ListedChange{ approval, std::make_shared<TargetListing>(fleet) },
              ValueOf(proposed).mConfiguration);
  REQUIRE_MESSAGE(!IsError(approved),
                  (IsError(approved) ? ErrorOf(approved).mMessage : ""));
  CHECK(ValueOf(approved).mConfiguration->AllTargets().size() == 1);
}

TEST_CASE("A target that no label could name is left out")
{
  TargetListing listing = Fleet(1);
  listing.mTargets.push_back(Listed("spaced name", "caxias-a"));
  const Result<ConfigurationPointer> whole = WithListing(nullptr, listing);
  REQUIRE(!IsError(whole));
  CHECK(ValueOf(whole)->AllTargets() == std::vector{ TargetName("t-0") });
}

} // namespace verbenachute
