#include <LibEntry/EntryKnowledge.h>

#include <platform/KeyWire.h>

#include <LibCore/Overloaded.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace verbenachute {

EntryKnowledge::EntryKnowledge(ForwardEngine& aEngine,
                               Logger& aLogger,
                               Domains aDomains,
                               Region aHome)
  : mEngine(aEngine)
  , mLogger(aLogger)
  , mDomains(std::move(aDomains))
  , mHome(std::move(aHome))
  , mSteering([this]() { return Listing(); })
{
  mEngine.SetAdmittance(
    [this](const ListedTarget& aTarget, const CallerId& aCaller) {
      return !mOut.contains(aTarget.mDomain) &&
             mSteering.Admits(aTarget, aCaller);
    });
}

void
EntryKnowledge::Apply(const StoreMirror::Changes& aChanges,
                      const StoreFollower& aFollower,
                      Instant aNow)
{
  bool ownChanged = false;
  for (const StoreChange& change : aChanges) {
    std::visit(
      Overloaded{ [&](const platform::PlanKey&) {
                   // Without a plan the last one stays: intent never goes back.
                   if (change.mValue.has_value()) {
                     ApplyPlan(*change.mValue);
                   }
                 },
                  [&](const platform::DomainOutKey& aKey) {
                    if (change.mValue.has_value()) {
                      mOut.insert(aKey.mDomain);
                    } else {
                      mOut.erase(aKey.mDomain);
                    }
                    mLogger.Log(
                      LogEvent(change.mValue.has_value()
                                 ? EventNumber::DomainTakenOut
                                 : EventNumber::DomainBroughtIn)
                        .With("domain", aKey.mDomain.value())
                        .With("store_revision", change.mRevision.value()));
                  },
                  [&](const platform::TargetKey& aKey) {
                    ApplyTarget(aKey.mTarget, change.mValue, aFollower, aNow);
                  },
                  [&](const platform::OwnKey&) {
                    if (change.mValue.has_value()) {
                      mOwn[change.mKey] = *change.mValue;
                    } else {
                      mOwn.erase(change.mKey);
                    }
                    ownChanged = true;
                  },
                  [](const platform::OtherKey&) {} },
      platform::MeaningOf(change.mKey));
  }
  if (ownChanged) {
    ApplyIntent();
  }
}

void
EntryKnowledge::ApplyIntent()
{
  const Result<OperatorIntent::Outcome> taken = mIntent.Take(mOwn);
  if (IsError(taken)) {
    mLogger.Log(LogEvent(EventNumber::ChangeRefused)
                  .Because(ErrorOf(taken))
                  .With("revision", mIntent.Known().value()));
    return;
  }
  if (ValueOf(taken) == OperatorIntent::Outcome::InForce) {
    mSteering.SetIntent(mIntent.InForce());
    mLogger.Log(LogEvent(EventNumber::ConfigurationApplied)
                  .At(Step::Configuration)
                  .With("revision", mIntent.RevisionInForce().value()));
  }
}

TargetListing
EntryKnowledge::Listing() const
{
  TargetListing listing;
  listing.mDomains = mDomains;
  for (const TargetRecord* record : mEngine.Targets().All()) {
    const ListedTarget& listed = record->Listed();
    const ServiceTerms* terms =
      mEngine.Plan() ? mEngine.Plan()->FindService(listed.mService) : nullptr;
    // A service that the plan does not name has no connections to share out.
    const std::uint32_t connections =
      terms == nullptr ? 1 : std::max(1U, terms->mMaximumConnections);
    listing.mTargets.push_back(TargetEntry{ listed.mName,
                                            listed.mService,
                                            listed.mAddress,
                                            listed.mDomain,
                                            listed.mSlots,
                                            connections });
    listing.mDomains.emplace(listed.mDomain, mHome);
  }
  return listing;
}

void
EntryKnowledge::ApplyPlan(const std::string& aValue)
{
  Result<platform::DecodedPlan> decoded = platform::DecodePlan(aValue);
  if (IsError(decoded)) {
    ++mUnreadable;
    mLogger.Log(
      LogEvent(EventNumber::EntryUnreadable).Because(ErrorOf(decoded)));
    return;
  }
  platform::DecodedPlan plan = TakeValue(std::move(decoded));
  for (const std::string& skipped : plan.mSkipped) {
    ++mUnreadable;
    mLogger.Log(LogEvent(EventNumber::EntryUnreadable)
                  .At(Step::Configuration)
                  .With("entry", skipped));
  }
  const PlanVersion version = plan.mContent.mVersion;
  const bool newer = !mEngine.Plan() || version > mEngine.Plan()->Version();
  mSteering.OnListingChanged();
  mEngine.SetPlan(
    std::make_shared<const ServingPlan>(std::move(plan.mContent)));
  mLogger.Log(
    LogEvent(newer ? EventNumber::PlanApplied : EventNumber::PlanIgnored)
      .At(Step::Configuration)
      .With("version", version.value()));
}

void
EntryKnowledge::ApplyTarget(const TargetName& aTarget,
                            const std::optional<std::string>& aValue,
                            const StoreFollower& aFollower,
                            Instant aNow)
{
  if (!aValue.has_value()) {
    const RemovalHold::Verdict verdict = mHold.OnRemoved(
      aTarget, aFollower.FailingSince(), aFollower.RestoredAt(), aNow);
    if (verdict == RemovalHold::Verdict::RemoveNow) {
      Unlist(aTarget, "entry removed");
    }
    return;
  }
  const Result<ListedTarget> target = platform::DecodeTarget(aTarget, *aValue);
  if (IsError(target)) {
    ++mUnreadable;
    mLogger.Log(
      LogEvent(EventNumber::EntryUnreadable).Because(ErrorOf(target)));
    Unlist(aTarget, "entry unreadable");
    return;
  }
  mHold.OnListed(aTarget);
  const ListedTarget& listed = ValueOf(target);
  const TargetRecord* known = mEngine.Targets().Find(aTarget);
  if (known == nullptr || known->Listed().mStanding != listed.mStanding) {
    mLogger.Log(LogEvent(listed.mStanding == TargetStanding::Draining
                           ? EventNumber::TargetDraining
                           : EventNumber::TargetReady)
                  .Peer(aTarget.value())
                  .With("service", listed.mService.value())
                  .With("domain", listed.mDomain.value()));
  }
  mEngine.Targets().List(listed, aNow);
  mSteering.OnListingChanged();
}

void
EntryKnowledge::Unlist(const TargetName& aTarget, const char* aReason)
{
  if (mEngine.Targets().Find(aTarget) == nullptr) {
    return;
  }
  mEngine.Targets().Unlist(aTarget);
  mSteering.OnListingChanged();
  mLogger.Log(LogEvent(EventNumber::TargetGone)
                .Peer(aTarget.value())
                .With("reason", aReason));
}

void
EntryKnowledge::OnTime(Instant aNow)
{
  for (const TargetName& target : mHold.TakeDue(aNow)) {
    Unlist(target, "entry not back after the outage");
  }
}

} // namespace verbenachute
