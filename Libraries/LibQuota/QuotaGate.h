#pragma once

#include <LibQuota/QuotaMessage.h>
#include <LibQuota/QuotaOwners.h>

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace verbenachute {

/// Sends a request for a token to a node, which may be this one.
struct SendQuotaRequestAction
{
  NodeName mNode;
  QuotaRequest mRequest;
};

/// Ends a request for a token.
struct QuotaDecisionAction
{
  QuotaRequestNumber mNumber;
  QuotaDecision mDecision = QuotaDecision::Unknown;
  /// When the caller should return, unless a token is granted.
  Duration mRetryAfter{ 0 };
};

using QuotaAction = std::variant<SendQuotaRequestAction, QuotaDecisionAction>;
using QuotaActions = std::vector<QuotaAction>;

/// Gets a token for each request of a tenant before it is sent to a target:
/// from the tenant's owner, or from its deputy if the owner does not answer.
class QuotaGate
{
public:
  /// aFirstNumber exceeds the numbers of earlier incarnations of this node.
  QuotaGate(const QuotaOwners& aOwners, QuotaRequestNumber aFirstNumber)
    : mOwners(aOwners)
    , mNextNumber(aFirstNumber.value())
  {
  }

  /// Starts a request for a token. The decision may be among the actions.
  [[nodiscard]] QuotaRequestNumber Request(const TenantName& aTenant,
                                           QuotaActions* aActions,
                                           Instant aNow);
  [[nodiscard]] QuotaActions OnReply(const QuotaReply& aReply, Instant aNow);
  /// The token is not needed any more. If it is granted all the same, the next
  /// request of the tenant uses it.
  void Cancel(QuotaRequestNumber aNumber);
  /// A token was granted for a request that was not sent to any target; the
  /// next request of the tenant uses it.
  void Return(const TenantName& aTenant, Instant aNow);
  [[nodiscard]] QuotaActions OnTime(Instant aNow);
  [[nodiscard]] std::optional<Instant> NextWake() const;

private:
  enum class Stage
  {
    Owner,
    OwnerRepeated,
    Deputy,
  };

  struct Pending
  {
    TenantName mTenant;
    Stage mStage = Stage::Owner;
    Instant mDue;
    bool mIsCancelled = false;
  };

  using PendingRequests = std::map<QuotaRequestNumber, Pending>;

  /// Sends the request of a stage; false if there is no node for it.
  [[nodiscard]] bool Send(QuotaRequestNumber aNumber,
                          Pending* aPending,
                          Stage aStage,
                          QuotaActions* aActions,
                          Instant aNow);
  void Advance(PendingRequests::iterator aPending,
               QuotaActions* aActions,
               Instant aNow);
  [[nodiscard]] bool TakeSpare(const TenantName& aTenant, Instant aNow);

  const QuotaOwners& mOwners;
  std::uint64_t mNextNumber;
  PendingRequests mPending;
  std::set<std::pair<Instant, QuotaRequestNumber>> mDue;
  /// Expiry times of unused tokens.
  std::map<TenantName, std::vector<Instant>> mSpare;
};

} // namespace verbenachute
