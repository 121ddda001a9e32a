#include "ForwardRig.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

namespace verbenachute {

namespace {

/// Random requests to targets that answer, decline, fail, stay silent, and are
/// listed and unlisted. The invariants are checked here and in
/// ForwardRig::Take.
class RandomisedRun
{
public:
  explicit RandomisedRun(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mRig(4, 0.5)
  {
    mRig.ListAll();
  }

  void Run()
  {
    for (int step = 0; step < 600; ++step) {
      PerformRandomEvent();
      mRig.Pass(Duration(mRandom() % 8000));
      CheckSends();
    }
    mRig.Pass(seconds(5));
    for (const auto& entry : mPaths) {
      CAPTURE(entry.second);
      CHECK((mRig.AnswerOf(entry.first) != nullptr ||
             mDisconnected.contains(entry.first)));
    }
    CHECK(mRig.mEngine.RunningRequests() == 0);
  }

private:
  void PerformRandomEvent()
  {
    switch (mRandom() % 10) {
      case 0:
      case 1:
      case 2:
        Submit();
        break;
      case 3:
        DisconnectCaller();
        break;
      case 4:
        ChangeTargetList();
        break;
      default:
        EndAttempt();
    }
  }

  void Submit()
  {
    const char* paths[] = { "/gather/1", "/single/1", "/once/1" };
    const std::string path = paths[mRandom() % 3];
    mPaths.emplace(mRig.Submit(path, milliseconds(mRandom() % 400 + 1)), path);
  }

  void DisconnectCaller()
  {
    if (mPaths.empty()) {
      return;
    }
    const auto last = std::prev(mPaths.end());
    if (mRig.AnswerOf(last->first) == nullptr) {
      mDisconnected.insert(last->first);
      mRig.Take(mRig.mEngine.OnCallerDisconnected(last->first, mRig.mNow));
    }
  }

  void ChangeTargetList()
  {
    const std::string service = "s" + std::to_string(mRandom() % 4);
    const std::string name = service + "-" + std::to_string(mRandom() % 2);
    if (mRandom() % 2 == 0) {
      mRig.mEngine.Targets().Unlist(TargetName(name));
    } else {
      mRig.ListTarget(name, service);
    }
  }

  void EndAttempt()
  {
    const std::vector<SendAction> open = mRig.Open();
    if (open.empty()) {
      return;
    }
    const AttemptId attempt = open[mRandom() % open.size()].mAttempt;
    switch (mRandom() % 10) {
      case 0:
        mRig.Decline(attempt);
        break;
      case 1:
        mRig.FailSigned(attempt);
        mMayHaveRun.insert(attempt);
        break;
      case 2:
        mRig.Break(attempt, AttemptFailure::ConnectionLost);
        mMayHaveRun.insert(attempt);
        break;
      case 3:
        mRig.Break(attempt, AttemptFailure::NotSent);
        break;
      default:
        mRig.Answer(attempt);
        mMayHaveRun.insert(attempt);
    }
  }

  void CheckSends()
  {
    for (; mCheckedSends < mRig.mSent.size(); ++mCheckedSends) {
      const SendAction& send = mRig.mSent[mCheckedSends];
      const std::string service =
        send.mTarget.value().substr(0, send.mTarget.value().find('-'));
      std::vector<AttemptId>& earlier =
        mAttempts[{ send.mRequest->mId, service }];
      CHECK(earlier.size() < 2);
      if (send.mRequest->mTarget.starts_with("/once/")) {
        for (const AttemptId attempt : earlier) {
          CHECK(!mMayHaveRun.contains(attempt));
        }
      }
      earlier.push_back(send.mAttempt);
    }
  }

  std::mt19937 mRandom;
  ForwardRig mRig;
  std::map<RequestNumber, std::string> mPaths;
  std::set<RequestNumber> mDisconnected;
  std::set<AttemptId> mMayHaveRun;
  std::map<std::pair<RequestId, std::string>, std::vector<AttemptId>> mAttempts;
  std::size_t mCheckedSends = 0;
};

} // namespace

TEST_CASE("Randomised runs: every request is answered once, within its "
          "attempts, and nothing runs twice that must not")
{
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    RandomisedRun(seed).Run();
  }
}

} // namespace verbenachute
