#include <LibRollout/RolloutBoard.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

void
RolloutBoard::Set(const ServiceName& aService,
                  std::unique_ptr<RolloutMachine> aMachine)
{
  if (aMachine == nullptr) {
    mMachines.erase(aService);
    return;
  }
  mMachines[aService] = std::move(aMachine);
}

RolloutMachine*
RolloutBoard::Find(const ServiceName& aService) const
{
  const auto found = mMachines.find(aService);
  return found == mMachines.end() ? nullptr : found->second.get();
}

bool
RolloutBoard::HasOpenOrders() const
{
  return std::any_of(
    mMachines.begin(), mMachines.end(), [](const auto& aEntry) {
      return aEntry.second->IsOpen();
    });
}

VersionRank
RolloutBoard::RankOf(const ListedTarget& aTarget,
                     const std::string& aRoute) const
{
  const RolloutMachine* machine = Find(aTarget.mService);
  return machine == nullptr ? VersionRank::Preferred
                            : machine->RankOf(aTarget.mSoftwareVersion, aRoute);
}

void
RolloutBoard::OnSent(AttemptId aAttempt,
                     const ListedTarget& aTarget,
                     const std::string& aRoute,
                     bool aIsCold,
                     Instant aNow)
{
  RolloutMachine* machine = Find(aTarget.mService);
  if (machine == nullptr || !machine->IsOpen()) {
    return;
  }
  const std::optional<RolloutVersion> version =
    machine->KindOf(aTarget.mSoftwareVersion);
  if (!version.has_value()) {
    return;
  }
  machine->OnSent(aRoute, *version);
  mAttempts.emplace(aAttempt,
                    Attempt{ aTarget.mService,
                             machine->Order().mRevision,
                             aRoute,
                             *version,
                             aIsCold,
                             aNow });
}

void
RolloutBoard::OnEnded(AttemptId aAttempt, AttemptEnd aEnd, Instant aNow)
{
  const auto found = mAttempts.find(aAttempt);
  if (found == mAttempts.end()) {
    return;
  }
  const Attempt attempt = std::move(found->second);
  mAttempts.erase(found);
  RolloutMachine* machine = Find(attempt.mService);
  if (machine == nullptr || machine->Order().mRevision != attempt.mOrder) {
    return;
  }
  machine->OnEnded(attempt.mRoute,
                   attempt.mVersion,
                   aEnd,
                   attempt.mIsCold ? std::nullopt
                                   : std::optional(aNow - attempt.mSent));
}

} // namespace verbenachute
