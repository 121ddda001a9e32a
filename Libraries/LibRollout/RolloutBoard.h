#pragma once

#include <LibForward/VersionPolicy.h>
#include <LibRollout/RolloutMachine.h>

#include <map>
#include <memory>
#include <unordered_map>

namespace verbenachute {

/// The orders of all services on one node. Services without an order are not
/// affected.
class RolloutBoard final : public VersionPolicy
{
public:
  using Machines = std::map<ServiceName, std::unique_ptr<RolloutMachine>>;

  /// Replaces the order of the service; null removes it. Attempts sent before
  /// count for no other order.
  void Set(const ServiceName& aService,
           std::unique_ptr<RolloutMachine> aMachine);
  /// Null if the service has no order.
  [[nodiscard]] RolloutMachine* Find(const ServiceName& aService) const;
  [[nodiscard]] const Machines& All() const { return mMachines; }
  [[nodiscard]] bool HasOpenOrders() const;

  [[nodiscard]] VersionRank RankOf(const ListedTarget& aTarget,
                                   const std::string& aRoute) const override;
  void OnSent(AttemptId aAttempt,
              const ListedTarget& aTarget,
              const std::string& aRoute,
              bool aIsCold,
              Instant aNow) override;
  void OnEnded(AttemptId aAttempt, AttemptEnd aEnd, Instant aNow) override;

private:
  struct Attempt
  {
    ServiceName mService;
    StoreRevision mOrder;
    std::string mRoute;
    RolloutVersion mVersion = RolloutVersion::Old;
    bool mIsCold = false;
    Instant mSent;
  };

  Machines mMachines;
  /// Attempts in flight of services with an order.
  std::unordered_map<AttemptId, Attempt> mAttempts;
};

} // namespace verbenachute
