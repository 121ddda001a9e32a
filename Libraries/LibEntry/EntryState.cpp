#include <LibEntry/EntryState.h>

#include <platform/KeyWire.h>

#include <LibCore/Overloaded.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace verbenachute {

EntryState::EntryState(ForwardEngine& aEngine,
                       Logger& aLogger,
                       Domains aDomains,
                       Region aDefaultRegion)
  : mEngine(aEngine)
  , mLogger(aLogger)
  , mDomains(std::move(aDomains))
  , mDefaultRegion(std::move(aDefaultRegion))
  , mTargetAdmission([this]() { return Listing(); })
{
  mEngine.SetAdmissionFilter(
    [this](const ListedTarget& aTarget, const CallerId& aCaller) {
      return !mDomainsOut.contains(aTarget.mDomain) &&
             mTargetAdmission.Admits(aTarget, aCaller);
    });
}

void
EntryState::Apply(const StoreMirror::Changes& aChanges,
                  const StoreFollower& aFollower,
                  Instant aNow)
{
  bool ownChanged = false;
  if (mOfferedPlan.has_value()) {
    ApplyPlan(*std::exchange(mOfferedPlan, std::nullopt));
  }
  for (const StoreChange& change : aChanges) {
    std::visit(Overloaded{ [&](const platform::PlanKey&) {
                            // If the plan is deleted the last one stays in
                            // force: a plan is never reverted.
                            if (change.mValue.has_value()) {
                              ApplyStoredPlan(*change.mValue, aFollower);
                            }
                          },
                           [&](const platform::DomainOutKey& aKey) {
                             ApplyDomainOut(aKey.mDomain, change, aNow);
                           },
                           [&](const platform::TargetKey& aKey) {
                             ApplyTarget(aKey.mTarget, change, aFollower, aNow);
                           },
                           [&](const platform::OwnKey&) {
                             if (change.mValue.has_value()) {
                               mOwnKeys[change.mKey] = *change.mValue;
                             } else {
                               mOwnKeys.erase(change.mKey);
                             }
                             ownChanged = true;
                           },
                           [](const platform::OtherKey&) {} },
               platform::ClassifyKey(change.mKey));
  }
  if (ownChanged) {
    ApplyOperatorConfiguration();
  }
}

void
EntryState::ApplyOperatorConfiguration()
{
  const Result<OperatorConfiguration::Outcome> outcome =
    mOperatorConfiguration.Update(mOwnKeys);
  if (IsError(outcome)) {
    mLogger.Log(LogEvent(EventNumber::ChangeRefused)
                  .WithError(ErrorOf(outcome))
                  .With("revision", mOperatorConfiguration.Known().value()));
    return;
  }
  if (ValueOf(outcome) == OperatorConfiguration::Outcome::InForce) {
    mTargetAdmission.SetConfiguration(mOperatorConfiguration.InForce());
    mLogger.Log(
      LogEvent(EventNumber::ConfigurationApplied)
        .At(Step::Configuration)
        .With("revision", mOperatorConfiguration.RevisionInForce().value()));
  }
}

TargetListing
EntryState::Listing() const
{
  TargetListing listing;
  listing.mDomains = mDomains;
  for (const TargetRecord* record : mEngine.Targets().All()) {
    const ListedTarget& listed = record->Listed();
    const ServiceSettings* serviceSettings =
      mEngine.Plan() ? mEngine.Plan()->FindService(listed.mService) : nullptr;
    // A service that the plan does not name has no connection limit to report;
    // its targets count with one connection.
    const std::uint32_t connections =
      serviceSettings == nullptr
        ? 1
        : std::max(1U, serviceSettings->mMaximumConnections);
    listing.mTargets.push_back(TargetEntry{ listed.mName,
                                            listed.mService,
                                            listed.mAddress,
                                            listed.mDomain,
                                            listed.mSlots,
                                            connections });
    listing.mDomains.emplace(listed.mDomain, mDefaultRegion);
  }
  return listing;
}

void
EntryState::ApplyDomainOut(const FailureDomain& aDomain,
                           const StoreChange& aChange,
                           Instant aNow)
{
  if (aChange.mCause == ChangeCause::LostByRestore) {
    mEvacuationRetention.OnLost(aDomain, aNow);
    mLogger.Log(LogEvent(EventNumber::EvacuationRetained)
                  .With("domain", aDomain.value())
                  .With("store_revision", aChange.mRevision.value()));
    return;
  }
  mEvacuationRetention.OnWritten(aDomain);
  if (aChange.mValue.has_value()) {
    mDomainsOut.insert(aDomain);
  } else {
    mDomainsOut.erase(aDomain);
  }
  mLogger.Log(LogEvent(aChange.mValue.has_value()
                         ? EventNumber::DomainTakenOut
                         : EventNumber::DomainBroughtIn)
                .With("domain", aDomain.value())
                .With("store_revision", aChange.mRevision.value()));
}

void
EntryState::ApplyStoredPlan(const std::string& aValue,
                            const StoreFollower& aFollower)
{
  if (mEngine.Plan() || aFollower.Era() == StoreEra()) {
    ApplyPlan(aValue);
    return;
  }
  const std::optional<platform::DecodedPlan> plan = DecodePlan(aValue);
  if (plan.has_value()) {
    mHeldPlan = aValue;
    mHeldVersion = plan->mContent.mVersion;
  }
}

void
EntryState::ReleaseHeldPlan()
{
  if (mHeldVersion.has_value()) {
    mOfferedPlan = mHeldPlan;
  }
}

std::optional<platform::DecodedPlan>
EntryState::DecodePlan(const std::string& aValue)
{
  Result<platform::DecodedPlan> decoded = platform::DecodePlan(aValue);
  if (IsError(decoded)) {
    ++mUnreadableEntries;
    mLogger.Log(
      LogEvent(EventNumber::EntryUnreadable).WithError(ErrorOf(decoded)));
    return std::nullopt;
  }
  platform::DecodedPlan plan = ReleaseValue(std::move(decoded));
  for (const std::string& skipped : plan.mSkipped) {
    ++mUnreadableEntries;
    mLogger.Log(LogEvent(EventNumber::EntryUnreadable)
                  .At(Step::Configuration)
                  .With("entry", skipped));
  }
  return plan;
}

void
EntryState::ApplyPlan(const std::string& aValue)
{
  std::optional<platform::DecodedPlan> plan = DecodePlan(aValue);
  if (!plan.has_value()) {
    return;
  }
  const PlanVersion version = plan->mContent.mVersion;
  const bool newer = !mEngine.Plan() || version > mEngine.Plan()->Version();
  mTargetAdmission.OnListingChanged();
  mEngine.SetPlan(
    std::make_shared<const ServingPlan>(std::move(plan->mContent)));
  if (newer) {
    mEncodedPlan = aValue;
  }
  mHeldPlan.clear();
  mHeldVersion.reset();
  mLogger.Log(
    LogEvent(newer ? EventNumber::PlanApplied : EventNumber::PlanIgnored)
      .At(Step::Configuration)
      .With("version", version.value()));
}

void
EntryState::ApplyTarget(const TargetName& aTarget,
                        const StoreChange& aChange,
                        const StoreFollower& aFollower,
                        Instant aNow)
{
  if (!aChange.mValue.has_value()) {
    // A target that the restored store lacks counts as removed in an outage.
    const std::optional<Instant> failingSince =
      aChange.mCause == ChangeCause::LostByRestore ? aNow
                                                   : aFollower.FailingSince();
    const RemovalDelay::Verdict verdict = mRemovalDelay.OnRemoved(
      aTarget, failingSince, aFollower.RestoredAt(), aNow);
    if (verdict == RemovalDelay::Verdict::RemoveNow) {
      Unlist(aTarget, "entry removed");
    }
    return;
  }
  const Result<ListedTarget> target =
    platform::DecodeTarget(aTarget, *aChange.mValue);
  if (IsError(target)) {
    ++mUnreadableEntries;
    mLogger.Log(
      LogEvent(EventNumber::EntryUnreadable).WithError(ErrorOf(target)));
    Unlist(aTarget, "entry unreadable");
    return;
  }
  mRemovalDelay.OnListed(aTarget);
  const ListedTarget& listed = ValueOf(target);
  const TargetRecord* known = mEngine.Targets().Find(aTarget);
  if (known == nullptr ||
      known->Listed().mAvailability != listed.mAvailability) {
    mLogger.Log(LogEvent(listed.mAvailability == TargetAvailability::Draining
                           ? EventNumber::TargetDraining
                           : EventNumber::TargetReady)
                  .Peer(aTarget.value())
                  .With("service", listed.mService.value())
                  .With("domain", listed.mDomain.value()));
  }
  mEngine.Targets().List(listed, aNow);
  mTargetAdmission.OnListingChanged();
}

void
EntryState::Unlist(const TargetName& aTarget, const char* aReason)
{
  if (mEngine.Targets().Find(aTarget) == nullptr) {
    return;
  }
  mEngine.Targets().Unlist(aTarget);
  mTargetAdmission.OnListingChanged();
  mLogger.Log(LogEvent(EventNumber::TargetGone)
                .Peer(aTarget.value())
                .With("reason", aReason));
}

void
EntryState::OnTime(Instant aNow)
{
  for (const TargetName& target : mRemovalDelay.TakeDue(aNow)) {
    Unlist(target, "entry not back after the outage");
  }
  for (const FailureDomain& domain : mEvacuationRetention.TakeDue(aNow)) {
    mDomainsOut.erase(domain);
    mLogger.Log(LogEvent(EventNumber::DomainBroughtIn)
                  .With("domain", domain.value())
                  .With("reason", "evacuation not written again"));
  }
}

} // namespace verbenachute
