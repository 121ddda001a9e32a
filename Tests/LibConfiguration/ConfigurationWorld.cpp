#include "ConfigurationWorld.h"

#include <LibCore/Overloaded.h>

namespace verbenachute {

namespace {

constexpr Duration kLatency = milliseconds(2);
constexpr Duration kGossipPeriod = milliseconds(500);
constexpr Duration kTickPeriod = milliseconds(20);

} // namespace

ConfigurationWorld::ConfigurationWorld(std::size_t aNodes)
  : mNow(seconds(1'000))
  , mChooser([](ChangeStep, std::size_t) { return Fate{}; })
  , mNodes(aNodes)
{
  const Result<EncodedConfiguration> first =
    ConfigurationCodec::Encode(*SmallConfiguration(), {}, PartTag("first"));
  for (const auto& [name, text] : ValueOf(first).mParts) {
    mStore.Swap(name.Key(), *text, 0);
  }
  mStore.Swap(std::string(kHeadKey), ValueOf(first).mHead.Text(), 0);
  for (std::size_t i = 0; i < aNodes; ++i) {
    Begin(i);
    Gossip(i);
    Tick(i);
  }
  RunFor(seconds(5));
}

void
ConfigurationWorld::Expect(bool aHolds, std::string_view aWhat)
{
  // Only what is broken is reported, as the checks run at every step.
  if (!aHolds) {
    FAIL_CHECK(std::string(aWhat));
    ++mBroken;
  }
}

void
ConfigurationWorld::Begin(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mIdentity = { NodeName("node-" + std::to_string(aNode)),
                     Incarnation(++mLastIncarnation) };
  node.mFollower =
    std::make_unique<ConfigurationFollower>(node.mIdentity.mName);
  node.mTracker = std::make_unique<InForceTracker>();
  node.mTold.clear();
  node.mFloor = mSaidInForce;
  // A writer that dies with its node leaves its operator without an answer.
  for (const auto& [operation, writer] : node.mWriters) {
    mUnknown.insert(operation);
  }
  node.mWriters.clear();
  std::vector<NodeName> names;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    names.emplace_back("node-" + std::to_string(i));
  }
  node.mFollower->OnPeers(names, mNow);
  Perform(aNode, node.mFollower->Start(mNow));
}

void
ConfigurationWorld::Restart(std::size_t aNode)
{
  Begin(aNode);
}

void
ConfigurationWorld::At(Instant aTime, std::function<void()> aRun)
{
  mEvents.push({ aTime, ++mLastEvent, std::move(aRun) });
}

void
ConfigurationWorld::RunFor(Duration aTime)
{
  const Instant end = mNow + aTime;
  while (!mEvents.empty() && mEvents.top().mAt <= end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = std::max(mNow, event.mAt);
    event.mRun();
  }
  mNow = end;
}

void
ConfigurationWorld::Call(std::size_t aNode,
                         ChangeStep aStep,
                         const std::function<std::function<void()>()>& aEffect)
{
  // The choice may restart the node, whose new life gets no answer to this.
  const NodeIdentity life = mNodes[aNode].mIdentity;
  const Fate fate = mChooser(aStep, aNode);
  if (fate.mLost) {
    return;
  }
  const int times = fate.mTwice ? 2 : 1;
  for (int i = 0; i < times; ++i) {
    At(mNow + kLatency + fate.mDelay, [=, this] {
      const std::function<void()> reply = aEffect();
      const bool isLast = i + 1 == times;
      if (!reply || (fate.mReplyLost && !(fate.mTwice && isLast))) {
        return;
      }
      At(mNow + kLatency, [=, this] {
        if (mNodes[aNode].mIdentity == life) {
          reply();
        }
      });
    });
  }
}

void
ConfigurationWorld::Perform(std::size_t aNode,
                            const ConfigurationFollower::Actions& aActions)
{
  for (const FollowerAction& action : aActions) {
    std::visit([=, this](const auto& aAction) { Perform(aNode, aAction); },
               action);
  }
}

void
ConfigurationWorld::Perform(std::size_t aNode, const ReadHead& aAction)
{
  const ConfigurationSource source = aAction.mSource;
  const CallId call = aAction.mCall;
  const bool fromStore = std::holds_alternative<StoreSource>(source);
  Call(aNode,
       fromStore ? ChangeStep::ReadHead : ChangeStep::PeerHead,
       [=, this]() -> std::function<void()> {
         std::string text;
         std::uint64_t revision = 0;
         if (fromStore) {
           const FakeStore::Value* value = mStore.Find(std::string(kHeadKey));
           text = value->mText;
           revision = value->mRevision;
         } else {
           for (const Node& node : mNodes) {
             if (node.mIdentity.mName == std::get<NodeName>(source)) {
               text = node.mFollower->HeadText();
             }
           }
         }
         return [=, this] {
           Perform(aNode,
                   mNodes[aNode].mFollower->OnHead(
                     call, source, text, revision, mNow));
         };
       });
}

void
ConfigurationWorld::Perform(std::size_t aNode, const WatchHead& aAction)
{
  const WatchHead watch = aAction;
  Call(aNode, ChangeStep::Watch, [=, this]() -> std::function<void()> {
    const NodeIdentity life = mNodes[aNode].mIdentity;
    const auto open = std::make_shared<bool>(true);
    const auto reply = [=, this](const FakeStore::Value& aValue) {
      if (!*open || mNodes[aNode].mIdentity != life) {
        return;
      }
      *open = false;
      Perform(
        aNode,
        mNodes[aNode].mFollower->OnHead(
          watch.mCall, StoreSource{}, aValue.mText, aValue.mRevision, mNow));
    };
    const FakeStore::Value* value = mStore.Find(std::string(kHeadKey));
    if (value->mRevision > watch.mAfter) {
      return [reply, copy = *value] { reply(copy); };
    }
    mWatchers.push_back({ watch.mAfter, reply });
    At(mNow + watch.mWait, [=, this] {
      if (*open && mNodes[aNode].mIdentity == life) {
        *open = false;
        Perform(aNode, mNodes[aNode].mFollower->OnUnchanged(watch.mCall, mNow));
      }
    });
    return {};
  });
}

void
ConfigurationWorld::Perform(std::size_t aNode, const ReadPart& aAction)
{
  const ReadPart read = aAction;
  const bool fromStore = std::holds_alternative<StoreSource>(read.mSource);
  Call(aNode,
       fromStore ? ChangeStep::ReadPart : ChangeStep::PeerPart,
       [=, this]() -> std::function<void()> {
         std::shared_ptr<const std::string> text;
         if (fromStore) {
           const FakeStore::Value* value = mStore.Find(read.mPart.Key());
           text = value ? std::make_shared<const std::string>(value->mText)
                        : nullptr;
         } else {
           for (const Node& node : mNodes) {
             if (node.mIdentity.mName == std::get<NodeName>(read.mSource)) {
               text = node.mFollower->FindPart(read.mPart);
             }
           }
         }
         return [=, this] {
           ConfigurationFollower& follower = *mNodes[aNode].mFollower;
           Perform(aNode,
                   text ? follower.OnPart(read.mCall, read.mPart, text, mNow)
                        : follower.OnFailure(read.mCall, mNow));
         };
       });
}

void
ConfigurationWorld::Perform(std::size_t aNode, const PutInForce& aAction)
{
  // A life that began after a revision was in force everywhere starts there.
  Expect(aAction.mConfiguration->CurrentRevision() >= mNodes[aNode].mFloor,
         "the revision in force went back");
  mNodes[aNode].mFloor =
    Revision(aAction.mConfiguration->CurrentRevision().value() + 1);
}

void
ConfigurationWorld::SubmitLabel(std::size_t aNode, const std::string& aKey)
{
  const std::string operation = "op-" + std::to_string(++mLastOperation);
  Node& node = mNodes[aNode];
  const ConfigurationFollower& follower = *node.mFollower;
  WriterBase base;
  if (follower.InForce()) {
    base.mConfiguration = follower.InForce();
    base.mHead = follower.Head();
    for (const PartName& part : base.mHead.mParts) {
      base.mParts[part] = follower.FindPart(part);
    }
  }
  node.mWriters[operation] = std::make_unique<ConfigurationWriter>(
    node.mIdentity,
    mLastOperation,
    LabelRequest(operation, aKey.empty() ? "key-" + operation : aKey, "set"),
    base);
  mKeys[operation] = aKey.empty() ? "key-" + operation : aKey;
  PerformWrite(aNode, operation, node.mWriters[operation]->Start(mNow));
}

void
ConfigurationWorld::PerformWrite(std::size_t aNode,
                                 const std::string& aOperation,
                                 const ConfigurationWriter::Actions& aActions)
{
  const auto reply = [=, this](auto aMember, auto... aArguments) {
    const auto found = mNodes[aNode].mWriters.find(aOperation);
    if (found != mNodes[aNode].mWriters.end()) {
      PerformWrite(
        aNode, aOperation, ((*found->second).*aMember)(aArguments..., mNow));
    }
  };
  using Writer = ConfigurationWriter;
  for (const WriterAction& action : aActions) {
    std::visit(
      Overloaded{
        [&](const ReadHead& aRead) {
          Call(aNode, ChangeStep::ReadHead, [=, this] {
            const FakeStore::Value value = *mStore.Find(std::string(kHeadKey));
            return [=] {
              reply(&Writer::OnHead, aRead.mCall, value.mText, value.mRevision);
            };
          });
        },
        [&](const ReadPart& aRead) {
          Call(
            aNode, ChangeStep::ReadPart, [=, this]() -> std::function<void()> {
              const FakeStore::Value* value = mStore.Find(aRead.mPart.Key());
              if (!value) {
                return [=] {
                  reply(&Writer::OnFailure, aRead.mCall, Execution::NotRun);
                };
              }
              const auto text =
                std::make_shared<const std::string>(value->mText);
              return [=] { reply(&Writer::OnPart, aRead.mCall, text); };
            });
        },
        [&](const WritePart& aWrite) {
          Call(aNode, ChangeStep::WritePart, [=, this] {
            mStore.Swap(aWrite.mPart.Key(), *aWrite.mText, 0);
            return [=] { reply(&Writer::OnPartWritten, aWrite.mCall); };
          });
        },
        [&](const DeletePart& aDelete) {
          Call(aNode, ChangeStep::WritePart, [=, this] {
            mStore.Remove(aDelete.mPart.Key());
            CheckHeadIsComplete();
            return [=] { reply(&Writer::OnPartDeleted, aDelete.mCall); };
          });
        },
        [&](const SwapHead& aSwap) {
          Call(aNode, ChangeStep::SwapHead, [=, this] {
            bool swapped = false;
            SwapHeadInStore(aSwap.mText, aSwap.mExpected, &swapped);
            return [=] {
              reply(swapped ? &Writer::OnSwapped : &Writer::OnSwapConflict,
                    aSwap.mCall);
            };
          });
        },
        [&](const WriteFinished& aFinished) {
          Finish(aNode, aOperation, aFinished.mOutcome);
        },
      },
      action);
  }
}

void
ConfigurationWorld::Finish(std::size_t aNode,
                           const std::string& aOperation,
                           const Result<WriteOutcome>& aOutcome)
{
  if (IsError(aOutcome)) {
    const bool unknown = ErrorOf(aOutcome).mCode == ErrorCode::OutcomeUnknown;
    (unknown ? mUnknown : mFailed).insert(aOperation);
  } else {
    mAccepted.insert(aOperation);
    const WriteOutcome& outcome = ValueOf(aOutcome);
    if (outcome.mWritten) {
      Perform(aNode,
              mNodes[aNode].mFollower->OnWritten(
                *outcome.mWritten, outcome.mSent, mNow));
    }
  }
  const NodeIdentity life = mNodes[aNode].mIdentity;
  At(mNow, [=, this] {
    if (mNodes[aNode].mIdentity == life) {
      mNodes[aNode].mWriters.erase(aOperation);
    }
  });
}

void
ConfigurationWorld::Tick(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  if (node.mFollower->NextWake() <= mNow) {
    Perform(aNode, node.mFollower->OnTick(mNow));
  }
  std::vector<std::string> operations;
  for (const auto& [operation, writer] : node.mWriters) {
    if (!writer->IsFinished() && writer->NextWake() <= mNow) {
      operations.push_back(operation);
    }
  }
  for (const std::string& operation : operations) {
    PerformWrite(aNode, operation, node.mWriters[operation]->OnTick(mNow));
  }
  CheckInForce(aNode);
  At(mNow + kTickPeriod, [=, this] { Tick(aNode); });
}

void
ConfigurationWorld::Gossip(std::size_t aNode)
{
  for (std::size_t peer = 0; peer < mNodes.size(); ++peer) {
    if (peer == aNode) {
      continue;
    }
    const Instant isPending = mNow;
    Call(aNode, ChangeStep::PeerRevision, [=, this]() -> std::function<void()> {
      const NodeIdentity identity = mNodes[peer].mIdentity;
      const ConfigurationFollower& follower = *mNodes[peer].mFollower;
      const Revision revision = follower.RevisionInForce();
      std::optional<Instant> confirmed;
      if (follower.Confirmed()) {
        confirmed = isPending - (mNow - *follower.Confirmed());
      }
      return [=, this] {
        mNodes[aNode].mTracker->OnConfirmed(identity, revision);
        mNodes[aNode].mTold.insert(identity.mName);
        Perform(aNode,
                mNodes[aNode].mFollower->OnPeerRevision(
                  identity.mName, revision, confirmed, mNow));
      };
    });
  }
  At(mNow + kGossipPeriod, [=, this] { Gossip(aNode); });
}

void
ConfigurationWorld::CheckInForce(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  const Revision revision = node.mFollower->RevisionInForce();
  node.mTracker->OnConfirmed(node.mIdentity, revision);
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    // The list of VMs tells that the others exist before they are heard.
    node.mTracker->OnNode(
      { NodeName("node-" + std::to_string(i)), Incarnation(0) });
  }
  if (revision == Revision(0) ||
      node.mTracker->StatusOf(revision).mPropagation != Propagation::InForce) {
    return;
  }
  for (const Node& other : mNodes) {
    // A node that has just restarted has nothing in force, and begins at the
    // floor that is checked when it puts something in force.
    const Revision others = other.mFollower->RevisionInForce();
    Expect(others >= revision || others == Revision(0),
           "said to be in force too early");
  }
  mSaidInForce = std::max(mSaidInForce, revision);
}

void
ConfigurationWorld::SwapHeadInStore(const std::string& aText,
                                    std::uint64_t aExpected,
                                    bool* aSwapped)
{
  const Revision before = StoreRevision();
  *aSwapped = mStore.Swap(std::string(kHeadKey), aText, aExpected).has_value();
  if (!*aSwapped) {
    return;
  }
  Expect(StoreRevision() == Revision(before.value() + 1),
         "a revision was left out or taken twice");
  CheckHeadIsComplete();
  const FakeStore::Value value = *mStore.Find(std::string(kHeadKey));
  std::vector<Watcher> watchers;
  watchers.swap(mWatchers);
  for (const Watcher& watcher : watchers) {
    At(mNow + kLatency, [=] { watcher.mReply(value); });
  }
}

void
ConfigurationWorld::RaceLabel()
{
  const ConfigurationPointer stored = Stored();
  const std::string operation = "op-" + std::to_string(++mLastOperation);
  const Result<ChangeOutcome> next = ConfigurationEditor::Apply(
    stored, LabelRequest(operation, "key-" + operation, "set"));
  const FakeStore::Value head = *mStore.Find(std::string(kHeadKey));
  const Result<EncodedConfiguration> encoded =
    ConfigurationCodec::Encode(*ValueOf(next).mConfiguration,
                               ValueOf(ConfigurationHead::Create(head.mText)),
                               PartTag(operation));
  for (const auto& [name, text] : ValueOf(encoded).mParts) {
    mStore.Swap(name.Key(), *text, 0);
  }
  bool swapped = false;
  SwapHeadInStore(ValueOf(encoded).mHead.Text(), head.mRevision, &swapped);
  CHECK(swapped);
  mAccepted.insert(operation);
  mKeys[operation] = "key-" + operation;
}

ConfigurationPointer
ConfigurationWorld::Stored() const
{
  const Result<ConfigurationHead> head =
    ConfigurationHead::Create(mStore.Find(std::string(kHeadKey))->mText);
  ConfigurationParts parts;
  for (const PartName& part : ValueOf(head).mParts) {
    parts[part] =
      std::make_shared<const std::string>(mStore.Find(part.Key())->mText);
  }
  return ValueOf(ConfigurationCodec::Decode(ValueOf(head), parts));
}

Revision
ConfigurationWorld::StoreRevision() const
{
  return ValueOf(
           ConfigurationHead::Create(mStore.Find(std::string(kHeadKey))->mText))
    .mRevision;
}

void
ConfigurationWorld::CheckHeadIsComplete()
{
  const Result<ConfigurationHead> head =
    ConfigurationHead::Create(mStore.Find(std::string(kHeadKey))->mText);
  for (const PartName& part : ValueOf(head).mParts) {
    Expect(mStore.Find(part.Key()) != nullptr, "the head names a missing part");
  }
}

void
ConfigurationWorld::Settle()
{
  mChooser = [](ChangeStep, std::size_t) { return Fate{}; };
  RunFor(seconds(60));
  const ConfigurationPointer stored = Stored();
  std::map<std::string, int> applied;
  for (const HistoryEntry& entry : stored->Content().mHistory) {
    ++applied[entry.mOperation.value()];
  }
  const LabelSet& labels =
    stored->Content().mTargetLabels.LabelsOf(TargetName("t-1"));
  for (const auto& [operation, times] : applied) {
    Expect(times == 1, operation + " was applied twice");
  }
  for (const std::string& operation : mAccepted) {
    Expect(applied.contains(operation) && labels.contains(mKeys[operation]),
           operation + " was accepted and is lost");
  }
  for (const std::string& operation : mFailed) {
    Expect(!applied.contains(operation),
           operation + " was said to have failed and is applied");
  }
  for (const Node& node : mNodes) {
    Expect(node.mWriters.empty(), "a write never ended");
    Expect(node.mFollower->RevisionInForce() == StoreRevision(),
           "a node never caught up");
    Expect(node.mFollower->IsFresh(mNow, seconds(15)),
           "a node does not know that it is up to date");
  }
  Expect(mSaidInForce == StoreRevision(), "never said to be in force");
}

} // namespace verbenachute
