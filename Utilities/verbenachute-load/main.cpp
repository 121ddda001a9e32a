#include "DirectSender.h"
#include "LoadRun.h"
#include "LoadSettings.h"
#include "TierSender.h"

#include <Common/JsonText.h>
#include <LibCore/SocketAddressText.h>
#include <LibCore/SystemClock.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>

ABSL_FLAG(std::vector<std::string>,
          nodes,
          {},
          "Caller ports of nodes, as IP:PORT,IP:PORT.");
ABSL_FLAG(bool, direct, false, "Plain fan-out straight at the targets.");
ABSL_FLAG(std::string, site_file, "", "Services and targets of the site.");
ABSL_FLAG(double, rate, 50, "Arrivals a second over all services.");
ABSL_FLAG(double, seconds, 10, "Length of the load.");
ABSL_FLAG(std::int64_t, deadline_ms, 500, "Deadline of each request.");
ABSL_FLAG(std::uint32_t, limit, 20, "Most hits in an answer.");
ABSL_FLAG(std::uint32_t, callers, 20, "Callers of each class.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of arrivals and requests.");
ABSL_FLAG(std::uint32_t,
          retries,
          2,
          "Sends beyond the first, if the outcome is unknown or the node "
          "leaves.");
ABSL_FLAG(double,
          duplicate_share,
          0,
          "Share of non-idempotent requests that go to two nodes at once.");
ABSL_FLAG(double,
          crash_share,
          0,
          "Share of requests that crash each searcher which runs them.");
ABSL_FLAG(std::string, report_file, "", "File for all figures, as JSON.");
ABSL_FLAG(std::string,
          outcomes_file,
          "",
          "File for one line a request: id, service, idempotency, whether it "
          "ran, sends, coverage, fault.");

namespace verbenachute::load {

namespace {

constexpr int kExitWrong = 1;
constexpr int kExitUsage = 2;

Duration
SecondsOf(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

Result<LoadSettings>
ReadFlags()
{
  Result<SiteFile> site = ReadSiteFile(absl::GetFlag(FLAGS_site_file));
  if (IsError(site)) {
    return ErrorOf(site);
  }
  LoadSettings settings;
  settings.mSite = ReleaseValue(std::move(site));
  for (const std::string& text : absl::GetFlag(FLAGS_nodes)) {
    const Result<SocketAddress> node = ParseSocketAddress(text);
    if (IsError(node)) {
      return ErrorOf(node);
    }
    settings.mNodes.push_back(ValueOf(node));
  }
  if (settings.mNodes.empty() != absl::GetFlag(FLAGS_direct)) {
    return Error{ Step::Settings,
                  ErrorCode::InvalidInput,
                  "",
                  "give either --nodes or --direct" };
  }
  settings.mRate = absl::GetFlag(FLAGS_rate);
  settings.mLength = SecondsOf(absl::GetFlag(FLAGS_seconds));
  settings.mDeadline = milliseconds(absl::GetFlag(FLAGS_deadline_ms));
  settings.mLimit = absl::GetFlag(FLAGS_limit);
  settings.mCallersPerClass = absl::GetFlag(FLAGS_callers);
  settings.mSeed = absl::GetFlag(FLAGS_seed);
  settings.mRunName = "r-" + std::to_string(settings.mSeed) + "-" +
                      std::to_string(SystemClock().WallTime().count());
  settings.mRetries = absl::GetFlag(FLAGS_retries);
  settings.mDuplicateShare = absl::GetFlag(FLAGS_duplicate_share);
  settings.mCrashShare = absl::GetFlag(FLAGS_crash_share);
  settings.mReportFile = absl::GetFlag(FLAGS_report_file);
  settings.mOutcomesFile = absl::GetFlag(FLAGS_outcomes_file);
  return settings;
}

std::unique_ptr<QuerySender>
CreateSender(standins::EventLoop& aLoop, const LoadSettings& aSettings)
{
  if (aSettings.mNodes.empty()) {
    return std::make_unique<DirectSender>(aLoop, aSettings);
  }
  return std::make_unique<TierSender>(aLoop, aSettings);
}

int
Run()
{
  const Result<LoadSettings> settings = ReadFlags();
  if (IsError(settings)) {
    std::fprintf(stderr, "%s\n", ErrorOf(settings).mMessage.c_str());
    return kExitUsage;
  }
  standins::EventLoop loop;
  const std::unique_ptr<QuerySender> sender =
    CreateSender(loop, ValueOf(settings));
  LoadRun run(loop, ValueOf(settings), *sender);
  run.Start();
  loop.Run();
  run.GiveUpOpen();
  const LoadReport& report = run.Report();
  if (!ValueOf(settings).mReportFile.empty()) {
    std::ofstream(ValueOf(settings).mReportFile)
      << standins::JsonText(report.Whole()) << '\n';
  }
  std::printf("%s%s\n",
              report.Text().c_str(),
              standins::JsonText(report.Summary()).c_str());
  return report.Wrong() == 0 ? EXIT_SUCCESS : kExitWrong;
}

} // namespace

} // namespace verbenachute::load

int
main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "Sends an open-loop load and checks every answer against the data of the "
    "searcher stand-ins.");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  return verbenachute::load::Run();
}
