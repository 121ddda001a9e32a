#pragma once

#include <LibMembership/AddressAnswerer.h>
#include <LibMembership/LeavingProcess.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/PauseDetector.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace verbenachute {

/// Several nodes with their member tables, address answers and graceful
/// shutdowns over a fake network. What a cut link holds back arrives in one
/// go when it heals, as over TCP. A caller asks each node all the time.
class MemberRig
{
public:
  static constexpr Duration kHop = milliseconds(2);
  static constexpr Duration kTickPeriod = milliseconds(100);
  static constexpr Duration kListPeriod = seconds(2);

  enum class ListState
  {
    /// Lists every node that runs.
    Current,
    /// Lists what ran a while ago.
    Lagging,
    Empty,
    Down,
  };

  explicit MemberRig(std::size_t aNodes);

  void Leave(std::size_t aNode);
  void Kill(std::size_t aNode);
  /// Ends what runs under the name and starts a new life.
  void Start(std::size_t aNode);
  void Freeze(std::size_t aNode);
  void Thaw(std::size_t aNode);
  void Cut(std::size_t aFrom, std::size_t aTo);
  void Heal(std::size_t aFrom, std::size_t aTo);
  void SetList(ListState aState) { mListState = aState; }
  /// Thaws, heals and lists everything; what is down stays down.
  void MendAll();

  void RunFor(Duration aTime);

  [[nodiscard]] bool IsDown(std::size_t aNode) const;
  /// Whether the last life of a node ended by its graceful shutdown.
  [[nodiscard]] bool HasLeft(std::size_t aNode) const;
  /// The first broken promise; empty if all hold.
  [[nodiscard]] const std::string& Violation() const { return mViolation; }
  /// What keeps the nodes that run from agreeing; empty if nothing.
  [[nodiscard]] std::string Disagreement() const;

private:
  enum class Condition
  {
    Running,
    Frozen,
    Down,
  };

  struct Node
  {
    Condition mCondition = Condition::Down;
    std::uint64_t mLife = 0;
    std::optional<MemberTable> mTable;
    std::optional<AddressAnswerer> mAnswerer;
    std::optional<LeavingProcess> mLeaving;
    std::optional<PauseDetector> mPauses;
    std::vector<std::function<void()>> mBacklog;
    std::size_t mBuckets = 1;
    bool mHasLeft = false;
  };

  /// What became of one life of a node; its caller address names it.
  struct Life
  {
    /// When callers may be sent to it no more.
    std::optional<Instant> mStopsServing;
    std::optional<Instant> mKilledAt;
    std::optional<Instant> mAnnouncedAt;
    /// When the last answer that names it runs out.
    Instant mLastExpiry;
    Instant mLastNamed;
  };

  void At(Instant aTime, std::size_t aNode, std::function<void()> aWork);
  void Deliver(std::size_t aNode,
               std::uint64_t aLife,
               const std::function<void()>& aWork);
  void Tick(std::size_t aNode);
  void Send(std::size_t aFrom, const OutgoingHeartbeat& aHeartbeat);
  void Ask(std::size_t aNode);
  void CheckAnswer(std::size_t aNode, const AddressAnswer& aAnswer);
  void StepLeaving(std::size_t aNode);
  void Carry(std::size_t aNode, const std::vector<LeavingAction>& aActions);
  void StopServing(std::size_t aNode);
  void ReadList(std::size_t aNode);
  std::vector<ListedVm> Running() const;
  MemberDescription Describe(std::size_t aNode) const;
  SocketAddress CallerAddress(std::size_t aNode) const;
  void Violate(const std::string& aWhat);

  Instant mNow{ seconds(1000) };
  std::vector<Node> mNodes;
  std::map<SocketAddress, Life> mLives;
  std::multimap<Instant, std::function<void()>> mEvents;
  std::map<std::pair<std::size_t, std::size_t>,
           std::vector<std::function<void()>>>
    mCuts;
  ListState mListState = ListState::Current;
  std::vector<ListedVm> mOldList;
  std::uint64_t mNextLife = 1;
  std::uint64_t mAsked = 0;
  std::string mViolation;
};

} // namespace verbenachute
