#pragma once

#include "AnswerCheck.h"
#include "LatencySamples.h"
#include "QuerySender.h"

#include <json/value.h>

#include <map>
#include <string>
#include <vector>

namespace verbenachute::load {

/// Collects the outcome of each request and tells it in the end.
class LoadReport
{
public:
  /// aArrival is the time from the start of the load to the request's arrival.
  void Add(const PlannedRequest& aRequest,
           const SendResult& aResult,
           const AnswerVerdict& aVerdict,
           Duration aArrival,
           Duration aLatency);

  /// The one line of JSON that ends the output.
  [[nodiscard]] Json::Value Summary() const;
  /// All figures, for the bench.
  [[nodiscard]] Json::Value Whole() const;
  /// Figures and histograms for a person.
  [[nodiscard]] std::string Text() const;
  [[nodiscard]] std::uint64_t Wrong() const { return mAll.mWrong; }

private:
  struct Group
  {
    std::uint64_t mQueries = 0;
    std::uint64_t mComplete = 0;
    std::uint64_t mPartial = 0;
    std::uint64_t mFailed = 0;
    std::uint64_t mWrong = 0;
    double mFractions = 0;
    LatencySamples mLatencies;

    [[nodiscard]] double Coverage() const;
    [[nodiscard]] Json::Value Figures() const;
  };

  static void AddTo(Group& aGroup,
                    const SendResult& aResult,
                    const AnswerVerdict& aVerdict,
                    Duration aLatency);

  Group mAll;
  std::map<CallerClass, Group> mClasses;
  std::map<std::int64_t, Group> mSeconds;
  std::map<std::string, std::uint64_t> mFaults;
  std::map<std::string, std::uint64_t> mRefusals;
  std::uint64_t mSubQueries = 0;
  std::uint64_t mExtraAttempts = 0;
  std::uint64_t mSends = 0;
};

} // namespace verbenachute::load
