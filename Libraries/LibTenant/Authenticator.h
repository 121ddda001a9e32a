#pragma once

#include <LibCore/Time.h>
#include <LibRouting/ServingPlan.h>

#include <optional>
#include <variant>

namespace verbenachute {

/// Whether a newer plan may be in force that this node does not have.
enum class PlanFreshness
{
  Current,
  MayBeStale,
};

/// What a node knows of how recent its plan is.
struct PlanKnowledge
{
  /// Time since the last response of the store to this node or to a peer that
  /// would have told it of a newer plan; empty if there was none.
  std::optional<Duration> mStoreAge;
  /// Version of this node's plan.
  PlanVersion mOwnVersion;
  /// Latest version that any node has reported.
  PlanVersion mNewestVersion;
};

[[nodiscard]] PlanFreshness
FreshnessOf(const PlanKnowledge& aKnowledge);

/// The request may be forwarded.
struct Authenticated
{
  /// Null on public routes and if the plan has no tenants.
  const Tenant* mTenant = nullptr;
};

/// No tenant has the key, or the request has none.
struct KeyUnknown
{};

/// The plan has no such key, but a newer plan may have it.
struct KeyUndecided
{};

using AuthenticationResult =
  std::variant<Authenticated, KeyUnknown, KeyUndecided>;

/// Decides which tenant a request belongs to. aRoute is null if no route
/// matches the request; the request is then answered without authentication.
[[nodiscard]] AuthenticationResult
Authenticate(const ServingPlan& aPlan,
             const Route* aRoute,
             const std::optional<KeyHash>& aKey,
             PlanFreshness aFreshness);

} // namespace verbenachute
