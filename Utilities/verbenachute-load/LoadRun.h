#pragma once

#include "LoadReport.h"
#include "QuerySender.h"
#include "Workload.h"

#include <Common/EventLoop.h>

#include <fstream>
#include <map>

namespace verbenachute::load {

/// Sends the load on its own schedule, whatever the answers do, and ends the
/// loop when the last outcome is known.
class LoadRun
{
public:
  LoadRun(standins::EventLoop& aLoop,
          const LoadSettings& aSettings,
          QuerySender& aSender);

  /// The first arrival; the loop must be run after it.
  void Start();
  /// Counts the requests that still have no outcome as failed.
  void GiveUpOpen();
  [[nodiscard]] const LoadReport& Report() const { return mReport; }

private:
  void Arrive();
  void ScheduleNext();
  void Finished(const PlannedRequest& aRequest,
                Instant aArrival,
                const SendResult& aResult);
  void WriteOutcome(const PlannedRequest& aRequest,
                    const SendResult& aResult,
                    const AnswerVerdict& aVerdict);
  void StopIfDone();

  standins::EventLoop& mLoop;
  const LoadSettings& mSettings;
  QuerySender& mSender;
  Workload mWorkload;
  LoadReport mReport;
  std::ofstream mOutcomes;
  Instant mStart;
  /// Planned time of the next arrival. Latencies count from it, so that a
  /// tool which is late does not hide it.
  Instant mNextArrival;
  std::map<RequestId, PlannedRequest> mOpen;
  bool mArrivalsEnded = false;
};

} // namespace verbenachute::load
