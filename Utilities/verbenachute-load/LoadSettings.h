#pragma once

#include "SiteFile.h"

#include <LibCore/Time.h>

#include <string>
#include <vector>

namespace verbenachute::load {

/// What the load is and how callers behave.
struct LoadSettings
{
  SiteFile mSite;
  /// Nodes that callers ask for addresses; empty for a plain fan-out straight
  /// to the targets.
  std::vector<SocketAddress> mNodes;
  /// Arrivals a second over all services.
  double mRate = 1;
  Duration mLength{ 0 };
  Duration mDeadline{ 0 };
  std::uint32_t mLimit = 0;
  std::uint32_t mCallersPerClass = 1;
  std::uint64_t mSeed = 0;
  /// Begins the request ids. It differs from run to run, since nodes remember
  /// the outcomes of non-idempotent requests by their ids.
  std::string mRunName;
  /// Sends beyond the first of a request whose outcome is unknown.
  std::uint32_t mRetries = 0;
  /// Share of the non-idempotent requests that go to two nodes at once.
  double mDuplicateShare = 0;
  /// Share of the requests that crash each searcher which runs them.
  double mCrashShare = 0;
  /// Files for the whole report and for one line a request; empty for none.
  std::string mReportFile;
  std::string mOutcomesFile;
};

} // namespace verbenachute::load
