#include <LibConfiguration/ConfigurationEditor.h>

#include <LibConfiguration/ContentDigest.h>
#include <LibConfiguration/CoverageGuard.h>
#include <LibConfiguration/EditApplication.h>
#include <LibConfiguration/EditDifferences.h>
#include <LibConfiguration/EditJson.h>
#include <LibConfiguration/NameRules.h>
#include <LibConfiguration/SteeringPolicy.h>
#include <LibCore/Overloaded.h>
#include <LibJson/JsonText.h>

#include <algorithm>

namespace verbenachute {

namespace {

using ConfigurationPointer = std::shared_ptr<const Configuration>;

Error
Fault(ErrorCode aCode, std::string aMessage)
{
  return Error{ Step::Configuration, aCode, "", std::move(aMessage) };
}

std::string
DigestOf(const ChangeRequest& aRequest)
{
  return ContentDigest(aRequest.mOperator.value() + " " +
                       CompactJson(ChangeJson(aRequest.mChange)));
}

/// Computes the content that results from one request. If a step fails, the
/// whole application fails.
class ChangeApplication
{
public:
  ChangeApplication(const ConfigurationPointer& aBefore,
                    const ChangeRequest& aRequest)
    : mBefore(aBefore)
    , mRequest(aRequest)
    , mContent(aBefore->Content())
  {
  }

  Result<ChangeOutcome> Run()
  {
    Result<Success> applied = std::visit(
      [this](const auto& aChange) { return Make(aChange); }, mRequest.mChange);
    if (IsError(applied)) {
      return ErrorOf(applied);
    }
    mContent.mRevision = Revision(mContent.mRevision.value() + 1);
    Record();
    Result<ConfigurationPointer> after = Configuration::Create(mContent);
    if (IsError(after)) {
      return ErrorOf(after);
    }
    if (mCoverageLoss == CoverageLoss::Refused) {
      Result<Success> kept =
        CheckCoverageKept(*mBefore, *ValueOf(after), mRequest.mGroups);
      if (IsError(kept)) {
        return ErrorOf(kept);
      }
    }
    return ChangeOutcome{ ValueOf(after),
                          mContent.mRevision,
                          std::move(mDifferences) };
  }

private:
  Result<Success> Make(const MakeEdit& aMake)
  {
    if (!MaySteer(mContent, mRequest.mOperator, aMake.mEdit)) {
      return Fault(ErrorCode::Forbidden,
                   "operator '" + mRequest.mOperator.value() +
                     "' needs approval to " + EditSummary(aMake.mEdit) +
                     "; propose it");
    }
    mCoverageLoss = aMake.mCoverageLoss;
    return ApplyAndCompare(aMake.mEdit);
  }

  Result<Success> Make(const Propose& aPropose)
  {
    if (mContent.mProposals.size() >= ConfigurationEditor::kPendingProposals) {
      return Fault(ErrorCode::Overloaded, "too many proposals are pending");
    }
    // The edit is applied to a copy at once, so that its author learns of
    // errors and its approver sees what it would change.
    Result<Success> applied = ApplyAndCompare(aPropose.mEdit);
    if (IsError(applied)) {
      return applied;
    }
    mContent = mBefore->Content();
    const Proposal proposal{ mRequest.mOperation, mRequest.mOperator,
                             aPropose.mEdit,      aPropose.mCoverageLoss,
                             mDifferences,        mContent.mRevision };
    mContent.mProposals.insert_or_assign(proposal.mId, proposal);
    return Success{};
  }

  Result<Success> Make(const Approve& aApprove)
  {
    const Result<Proposal> found = FindProposal(aApprove.mProposal);
    if (IsError(found)) {
      return ErrorOf(found);
    }
    const Proposal& proposal = ValueOf(found);
    if (proposal.mProposer == mRequest.mOperator) {
      return Fault(ErrorCode::Forbidden,
                   "a proposal has to be approved by another operator than "
                   "its proposer");
    }
    Result<Success> applied = ApplyAndCompare(proposal.mEdit);
    if (IsError(applied)) {
      return Fault(ErrorCode::Conflict,
                   "the proposal no longer applies: " +
                     ErrorOf(applied).mMessage);
    }
    if (mDifferences != proposal.mDifferences) {
      return Fault(ErrorCode::Conflict,
                   "the proposal no longer applies: what it would change has "
                   "been changed since; reject it and propose anew");
    }
    mCoverageLoss = proposal.mCoverageLoss;
    mContent.mProposals.erase(aApprove.mProposal);
    return Success{};
  }

  Result<Success> Make(const Reject& aReject)
  {
    const Result<Proposal> found = FindProposal(aReject.mProposal);
    if (IsError(found)) {
      return ErrorOf(found);
    }
    mContent.mProposals.erase(aReject.mProposal);
    return Success{};
  }

  [[nodiscard]] Result<Proposal> FindProposal(const ProposalId& aId) const
  {
    const auto found = mContent.mProposals.find(aId);
    if (found == mContent.mProposals.end()) {
      return Fault(ErrorCode::NotFound,
                   "proposal '" + aId.value() + "' is not pending");
    }
    return found->second;
  }

  Result<Success> ApplyAndCompare(const Edit& aEdit)
  {
    Result<Success> applied = ApplyEdit(aEdit, &mContent);
    if (!IsError(applied)) {
      mDifferences = DifferencesOf(aEdit, mBefore->Content(), mContent);
    }
    return applied;
  }

  void Record()
  {
    std::vector<HistoryEntry>& history = mContent.mHistory;
    if (history.size() >= ConfigurationEditor::kHistoryEntries) {
      history.erase(history.begin());
    }
    history.push_back({ mContent.mRevision,
                        mRequest.mOperation,
                        mRequest.mOperator,
                        mRequest.mWallTime,
                        DigestOf(mRequest),
                        Summary() });
  }

  [[nodiscard]] std::string Summary() const
  {
    std::string summary = ChangeSummary(mRequest.mChange);
    const Approve* approve = std::get_if<Approve>(&mRequest.mChange);
    if (approve) {
      const Proposal& proposal =
        mBefore->Content().mProposals.at(approve->mProposal);
      summary += ": " + EditSummary(proposal.mEdit) + " (proposed by " +
                 proposal.mProposer.value() + ")";
    }
    return summary;
  }

  const ConfigurationPointer& mBefore;
  const ChangeRequest& mRequest;
  ConfigurationContent mContent;
  std::vector<Difference> mDifferences;
  // A change that makes no edit loses no coverage.
  CoverageLoss mCoverageLoss = CoverageLoss::Accepted;
};

Result<ChangeOutcome>
RepeatOutcome(const ConfigurationPointer& aConfiguration,
              const HistoryEntry& aEntry,
              const ChangeRequest& aRequest)
{
  if (aEntry.mDigest != DigestOf(aRequest)) {
    return Fault(ErrorCode::Conflict,
                 "operation id '" + aEntry.mOperation.value() +
                   "' was used for another change, at revision " +
                   std::to_string(aEntry.mRevision.value()));
  }
  return ChangeOutcome{ aConfiguration, aEntry.mRevision, {} };
}

} // namespace

Result<ChangeOutcome>
ConfigurationEditor::Apply(const ConfigurationPointer& aConfiguration,
                           const ChangeRequest& aRequest)
{
  for (const Result<Success>& checked :
       { CheckName("operation id", aRequest.mOperation.value()),
         CheckName("operator", aRequest.mOperator.value()) }) {
    if (IsError(checked)) {
      return ErrorOf(checked);
    }
  }
  const HistoryEntry* applied =
    FindOperation(aConfiguration->Content(), aRequest.mOperation);
  return applied ? RepeatOutcome(aConfiguration, *applied, aRequest)
                 : ChangeApplication(aConfiguration, aRequest).Run();
}

const HistoryEntry*
ConfigurationEditor::FindOperation(const ConfigurationContent& aContent,
                                   const OperationId& aOperation)
{
  // Repeats follow soon, so the newest entries are checked first.
  const auto found = std::find_if(aContent.mHistory.rbegin(),
                                  aContent.mHistory.rend(),
                                  [&aOperation](const HistoryEntry& aEntry) {
                                    return aEntry.mOperation == aOperation;
                                  });
  return found == aContent.mHistory.rend() ? nullptr : &*found;
}

} // namespace verbenachute
