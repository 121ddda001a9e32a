#include <LibEntry/EntryKnowledge.h>

#include <platform/KeyWire.h>

#include <LibCore/Overloaded.h>

#include <utility>
#include <variant>

namespace verbenachute {

EntryKnowledge::EntryKnowledge(ForwardEngine& aEngine, Logger& aLogger)
  : mEngine(aEngine)
  , mLogger(aLogger)
{
  mEngine.SetAdmittance([this](const ListedTarget& aTarget) {
    return !mOut.contains(aTarget.mDomain);
  });
}

void
EntryKnowledge::Apply(const StoreMirror::Changes& aChanges,
                      const StoreFollower& aFollower,
                      Instant aNow)
{
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
                  [&](const platform::OwnKey& aKey) {
                    if (change.mValue.has_value()) {
                      mOwn[aKey.mName] = *change.mValue;
                    } else {
                      mOwn.erase(aKey.mName);
                    }
                  },
                  [](const platform::OtherKey&) {} },
      platform::MeaningOf(change.mKey));
  }
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
}

void
EntryKnowledge::Unlist(const TargetName& aTarget, const char* aReason)
{
  if (mEngine.Targets().Find(aTarget) == nullptr) {
    return;
  }
  mEngine.Targets().Unlist(aTarget);
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
