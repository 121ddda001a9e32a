#pragma once

#include "HttpClient.h"
#include "LoadSettings.h"
#include "QuerySender.h"

#include <LibCore/SubAnswer.h>

#include <pcg_random.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute::load {

/// The baseline: a plain fan-out straight at the targets, one attempt a shard
/// at a replica drawn at random, and another one if that sheds. It hedges
/// nothing, keeps no budget and shares no slots with others.
class DirectSender final : public QuerySender
{
public:
  DirectSender(standins::EventLoop& aLoop, const LoadSettings& aSettings);

  void Send(const PlannedRequest& aRequest, Callback aCallback) override;

private:
  struct Flight
  {
    PlannedRequest mRequest;
    Callback mCallback;
    Instant mDeadline;
    IndexVersion mVersion;
    std::vector<std::optional<std::vector<Hit>>> mShards;
    std::uint32_t mOpen = 0;
    std::uint32_t mExtraAttempts = 0;
    standins::TimerId mTimer;
    bool mDone = false;
  };

  void Attempt(const std::shared_ptr<Flight>& aFlight, std::uint32_t aShard);
  void Replied(const std::shared_ptr<Flight>& aFlight,
               std::uint32_t aShard,
               const HttpReply& aReply);
  void Finish(const std::shared_ptr<Flight>& aFlight);
  [[nodiscard]] const SiteTarget* DrawReplica(const ServiceName& aService,
                                              std::uint32_t aShard);

  standins::EventLoop& mLoop;
  const LoadSettings& mSettings;
  HttpClient mClient;
  pcg64 mRandom;
  std::uint64_t mLastAttempt = 0;
};

} // namespace verbenachute::load
