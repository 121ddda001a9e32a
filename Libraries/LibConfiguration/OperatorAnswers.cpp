#include <LibConfiguration/OperatorAnswers.h>

#include <LibConfiguration/ConfigurationDocument.h>
#include <LibConfiguration/EditJson.h>
#include <LibConfiguration/EntryJson.h>
#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

namespace {

Json::Value
Revised(const OperatorContext& aContext)
{
  Json::Value answer;
  answer["revision"] =
    Json::UInt64(aContext.mConfiguration->CurrentRevision().value());
  return answer;
}

Json::Value
IdentitiesJson(const std::vector<NodeIdentity>& aNodes)
{
  Json::Value texts(Json::arrayValue);
  for (const NodeIdentity& node : aNodes) {
    texts.append(NodeIdentityText(node));
  }
  return texts;
}

const char*
AdmittanceName(Admittance aAdmittance)
{
  switch (aAdmittance) {
    case Admittance::Admitted:
      return "admitted";
    case Admittance::NotForCaller:
      return "not_for_caller";
    case Admittance::NoNewWork:
      return "no_new_work";
    case Admittance::LeftAlone:
      return "left_alone";
    case Admittance::UnknownTarget:
      return "unknown_target";
  }
  VERIFY(!"unknown admittance");
}

// Why a target gets no new work although the operators allow it.
constexpr const char* kPlatformReason = "the platform";

/// The admittance of a target; the platform's overrides the operators'.
AdmittanceDecision
DecisionOf(const TargetEntry& aTarget,
           const CallerId& aCaller,
           const OperatorContext& aContext)
{
  if (aContext.mDomainsOut.contains(aTarget.mDomain)) {
    return { Admittance::NoNewWork, kPlatformReason };
  }
  return aContext.mConfiguration->MayTakeNewWork(aTarget.mName, aCaller);
}

Json::Value
StatusAnswer(const OperatorContext& aContext)
{
  const PropagationStatus status =
    aContext.mTracker.StatusOf(aContext.mConfiguration->CurrentRevision());
  Json::Value answer = Revised(aContext);
  answer["known_revision"] = Json::UInt64(aContext.mKnown.value());
  answer["spread"] =
    status.mPropagation == Propagation::InForce ? "in_force" : "spreading";
  answer["confirmed"] = IdentitiesJson(status.mConfirmed);
  answer["cannot_dispatch"] = IdentitiesJson(status.mUnableToDispatch);
  answer["lagging"] = IdentitiesJson(status.mLagging);
  if (aContext.mConfirmedAge) {
    answer["confirmed_ms_ago"] = Json::Int64(
      std::chrono::duration_cast<milliseconds>(*aContext.mConfirmedAge)
        .count());
  }
  const ConfigurationContent& content = aContext.mConfiguration->Content();
  answer["pending"] = Json::UInt64(content.mProposals.size());
  answer["domains_out"] = Json::Value(Json::arrayValue);
  for (const auto& [name, domain] : content.mDomains) {
    if (domain.mState == DomainState::Out) {
      answer["domains_out"].append(name.value());
    }
  }
  answer["domains_out_by_platform"] = Json::Value(Json::arrayValue);
  for (const FailureDomain& domain : aContext.mDomainsOut) {
    answer["domains_out_by_platform"].append(domain.value());
  }
  return answer;
}

Json::Value
NodesAnswer(const OperatorContext& aContext)
{
  const Revision revision = aContext.mConfiguration->CurrentRevision();
  Json::Value answer = Revised(aContext);
  answer["nodes"] = Json::Value(Json::arrayValue);
  for (const NodeRevision& node : aContext.mTracker.Nodes()) {
    Json::Value entry;
    entry["node"] = NodeIdentityText(node.mNode);
    entry["revision"] = Json::UInt64(node.mConfirmed.value());
    entry["standing"] = node.mConfirmed >= revision         ? "confirmed"
                        : node.mMinimumRevision >= revision ? "cannot_dispatch"
                                                            : "lagging";
    answer["nodes"].append(entry);
  }
  return answer;
}

Json::Value
TargetsAnswer(const OperatorQuestion& aQuestion,
              const OperatorContext& aContext)
{
  const Configuration& configuration = *aContext.mConfiguration;
  Json::Value answer = Revised(aContext);
  answer["targets"] = Json::Value(Json::arrayValue);
  const std::vector<TargetName>& names =
    aQuestion.mService ? configuration.TargetsOf(*aQuestion.mService)
                       : configuration.AllTargets();
  for (const TargetName& name : names) {
    const TargetEntry& target = *configuration.FindTarget(name);
    Json::Value entry = TargetJson(target);
    entry["labels"] =
      LabelsJson(configuration.Content().mTargetLabels.LabelsOf(name));
    const AdmittanceDecision decision =
      DecisionOf(target, aQuestion.mCaller, aContext);
    entry["admittance"] = AdmittanceName(decision.mAdmittance);
    entry["reason"] = decision.mReason;
    answer["targets"].append(entry);
  }
  return answer;
}

Json::Value
SectionAnswer(const OperatorContext& aContext, const char* aSection)
{
  Json::Value answer = Revised(aContext);
  answer[aSection] = Json::Value(Json::arrayValue);
  for (const ConfigurationDocument::Section& section :
       ConfigurationDocument::Sections(aContext.mConfiguration->Content())) {
    if (section.mName != aSection) {
      continue;
    }
    for (const ConfigurationDocument::Entry& entry : section.mEntries) {
      answer[aSection].append(entry.mValue);
    }
  }
  return answer;
}

Json::Value
DocumentAnswer(const OperatorContext& aContext)
{
  Json::Value answer = Revised(aContext);
  for (const ConfigurationDocument::Section& section :
       ConfigurationDocument::Sections(aContext.mConfiguration->Content())) {
    for (const ConfigurationDocument::Entry& entry : section.mEntries) {
      answer[section.mName].append(entry.mValue);
    }
  }
  return answer;
}

Json::Value
HistoryAnswer(const OperatorQuestion& aQuestion,
              const OperatorContext& aContext)
{
  const std::vector<HistoryEntry>& history =
    aContext.mConfiguration->Content().mHistory;
  const std::size_t count = std::min(aQuestion.mLimit, history.size());
  Json::Value answer = Revised(aContext);
  answer["history"] = Json::Value(Json::arrayValue);
  for (std::size_t i = 0; i < count; ++i) {
    answer["history"].append(HistoryJson(history[history.size() - 1 - i]));
  }
  return answer;
}

Result<Json::Value>
ExplainAnswer(const OperatorQuestion& aQuestion,
              const OperatorContext& aContext)
{
  const Configuration& configuration = *aContext.mConfiguration;
  const TargetEntry* target = configuration.FindTarget(aQuestion.mTarget);
  if (target == nullptr) {
    return Error{ Step::Configuration,
                  ErrorCode::NotFound,
                  "",
                  "target '" + aQuestion.mTarget.value() +
                    "' is not registered" };
  }
  Configuration::Explanation explanation =
    configuration.Explain(aQuestion.mTarget, aQuestion.mCaller);
  explanation.mDecision = DecisionOf(*target, aQuestion.mCaller, aContext);
  if (aContext.mDomainsOut.contains(target->mDomain)) {
    explanation.mRules.insert(explanation.mRules.begin(),
                              "the platform has taken failure domain " +
                                target->mDomain.value() + " out");
  }
  Json::Value answer = Revised(aContext);
  answer["target"] = aQuestion.mTarget.value();
  answer["caller"] = aQuestion.mCaller.value();
  answer["admittance"] = AdmittanceName(explanation.mDecision.mAdmittance);
  answer["reason"] = explanation.mDecision.mReason;
  answer["labels"] = LabelsJson(explanation.mLabels);
  answer["rules"] = TextsJson(explanation.mRules);
  return answer;
}

} // namespace

Result<Json::Value>
OperatorAnswers::Answer(const OperatorQuestion& aQuestion,
                        const OperatorContext& aContext)
{
  if (!aContext.mConfiguration) {
    return Error{ Step::Configuration,
                  ErrorCode::Unavailable,
                  "",
                  "this node has no configuration yet" };
  }
  switch (aQuestion.mTopic) {
    case OperatorTopic::Status:
    case OperatorTopic::Watch:
      return StatusAnswer(aContext);
    case OperatorTopic::Nodes:
      return NodesAnswer(aContext);
    case OperatorTopic::Targets:
      return TargetsAnswer(aQuestion, aContext);
    case OperatorTopic::Labels:
      return SectionAnswer(aContext, "labels");
    case OperatorTopic::Domains:
      return SectionAnswer(aContext, "domains");
    case OperatorTopic::Selectors:
      return SectionAnswer(aContext, "selectors");
    case OperatorTopic::Explain:
      return ExplainAnswer(aQuestion, aContext);
    case OperatorTopic::Policy:
      return SectionAnswer(aContext, "policy");
    case OperatorTopic::Pending:
      return SectionAnswer(aContext, "proposals");
    case OperatorTopic::History:
      return HistoryAnswer(aQuestion, aContext);
    case OperatorTopic::Document:
      return DocumentAnswer(aContext);
  }
  VERIFY(!"unknown topic");
}

bool
OperatorAnswers::IsDue(const OperatorQuestion& aWatch,
                       const OperatorContext& aContext)
{
  if (!aContext.mConfiguration) {
    return false;
  }
  return aContext.mConfiguration->CurrentRevision() > aWatch.mAfter;
}

Json::Value
OperatorAnswers::ChangeAnswer(const OperatorChange& aChange,
                              const ChangeOutcome& aOutcome)
{
  Json::Value answer;
  answer["operation_id"] = aChange.mRequest.mOperation.value();
  answer["change"] = ChangeSummary(aChange.mRequest.mChange);
  answer["applied"] = aChange.mDryRun == DryRun::No;
  answer["revision"] = Json::UInt64(aOutcome.mRevision.value());
  answer["differences"] = Json::Value(Json::arrayValue);
  for (const Difference& difference : aOutcome.mDifferences) {
    answer["differences"].append(DifferenceJson(difference));
  }
  return answer;
}

Json::Value
OperatorAnswers::ErrorAnswer(const Error& aError)
{
  Json::Value answer;
  answer["error"]["code"] = ErrorCodeName(aError.mCode);
  answer["error"]["step"] = StepName(aError.mStep);
  answer["error"]["peer"] = aError.mPeer;
  answer["error"]["message"] = aError.mMessage;
  return answer;
}

int
OperatorAnswers::StatusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidInput:
      return 400;
    case ErrorCode::Forbidden:
      return 403;
    case ErrorCode::NotFound:
      return 404;
    case ErrorCode::Conflict:
      return 409;
    case ErrorCode::TooLarge:
      return 413;
    case ErrorCode::Overloaded:
      return 429;
    case ErrorCode::Unavailable:
    case ErrorCode::Unreachable:
    case ErrorCode::Draining:
      return 503;
    case ErrorCode::OutcomeUnknown:
      return 504;
    default:
      return 500;
  }
}

} // namespace verbenachute
