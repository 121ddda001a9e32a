#include <LibTransport/FrameLink.h>
#include <LibTransport/Timer.h>

#include <LibCore/Error.h>

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace verbenachute {

namespace {

constexpr std::uint32_t kMaximumPayload = 1024UL * 1024;
constexpr std::size_t kLimit = 256UL * 1024;

/// A link over a pair of sockets and the other end of the pair.
class Fixture
{
protected:
  Fixture()
  {
    int pair[2] = {};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair) == 0);
    mPeer = pair[0];
    mLink = FrameLink::Adopt(*mLoop, pair[1], kMaximumPayload, &mBudget);
    mLink->Closed().connect([this]() {
      mIsClosed = true;
      mLoop->Stop();
    });
  }

  ~Fixture() { close(mPeer); }

  /// Runs the loop until the link closes, or for a while if it stays open.
  void Run()
  {
    Timer end(*mLoop, [this]() { mLoop->Stop(); });
    end.Start(milliseconds(100));
    mLoop->Run();
  }

  void SendFromPeer(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size() && !mIsClosed) {
      const ssize_t size = send(mPeer,
                                aBytes.data() + sent,
                                aBytes.size() - sent,
                                MSG_NOSIGNAL | MSG_DONTWAIT);
      if (size > 0) {
        sent += static_cast<std::size_t>(size);
      }
      Run();
    }
  }

  MemoryBudget mBudget{ kLimit,
                        [this](const MemoryBudget::Eviction& aEviction) {
                          CHECK(aEviction.mUse ==
                                MemoryBudget::Use::PeerFrames);
                          ++mEvictions;
                        },
                        []() {} };
  const std::unique_ptr<EventLoop> mLoop = ReleaseValue(EventLoop::Create());
  std::unique_ptr<FrameLink> mLink;
  int mPeer = -1;
  int mEvictions = 0;
  bool mIsClosed = false;
};

} // namespace

// Guards against frames that stop short of their end and keep their memory.
TEST_CASE_FIXTURE(Fixture, "An incomplete frame is held in the budget")
{
  const std::string head("\0\x0f\0\0\x04", 5);
  SendFromPeer(head + std::string(kLimit / 2, 'x'));
  CHECK(mBudget.Held() > kLimit / 2);
  SendFromPeer(std::string(kLimit, 'x'));
  CHECK(mIsClosed);
  CHECK(mEvictions == 1);
  CHECK(mBudget.Held() == 0);
}

// Guards against frames that queue up for a peer that does not read.
TEST_CASE_FIXTURE(Fixture, "Frames that were not written are held")
{
  mLink->Send(FrameKind::Gather, std::string(kLimit / 2, 'y'));
  CHECK(mBudget.Held() > kLimit / 2);
  mLink->Send(FrameKind::Gather, std::string(kLimit, 'y'));
  Run();
  CHECK(mIsClosed);
  CHECK(mEvictions == 1);
}

TEST_CASE_FIXTURE(Fixture, "Complete frames are not held")
{
  std::size_t received = 0;
  mLink->FrameArrived().connect([&](FrameKind, const std::string& aPayload) {
    received += aPayload.size();
  });
  const std::string head("\0\0\x10\0\x04", 5);
  for (int i = 0; i < 16; ++i) {
    SendFromPeer(head + std::string(4096, 'z'));
  }
  CHECK(received == 16UL * 4096);
  CHECK(mBudget.Held() == 0);
  CHECK(!mIsClosed);
}

} // namespace verbenachute
