#include "LoadReport.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace verbenachute::load {

namespace {

constexpr double kRounding = 1000;
constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;
constexpr double kWholeCoverage = 0.999999;

double
Rounded(double aValue)
{
  return std::round(aValue * kRounding) / kRounding;
}

std::string
RefusalName(const SendResult& aResult)
{
  const std::string code =
    aResult.mKind == SendResult::Kind::NoReply
      ? "no reply"
      : aResult.mBody["error"].get("code", "?").asString();
  return code + " / " + ExecutionName(aResult.mExecution);
}

} // namespace

double
LoadReport::Group::Coverage() const
{
  const std::uint64_t answered = mComplete + mPartial;
  return answered == 0 ? 0 : mFractions / static_cast<double>(answered);
}

Json::Value
LoadReport::Group::Figures() const
{
  Json::Value figures;
  figures["queries"] = Json::UInt64(mQueries);
  figures["complete"] = Json::UInt64(mComplete);
  figures["partial"] = Json::UInt64(mPartial);
  figures["failed"] = Json::UInt64(mFailed);
  figures["wrong"] = Json::UInt64(mWrong);
  figures["p50_ms"] = Rounded(mLatencies.Quantile(kMedian));
  figures["p99_ms"] = Rounded(mLatencies.Quantile(kP99));
  figures["coverage"] = std::floor(Coverage() * 1e5) / 1e5;
  return figures;
}

void
LoadReport::AddTo(Group& aGroup,
                  const SendResult& aResult,
                  const AnswerVerdict& aVerdict,
                  Duration aLatency)
{
  ++aGroup.mQueries;
  if (!aVerdict.mFault.empty()) {
    ++aGroup.mWrong;
    return;
  }
  if (aResult.mKind != SendResult::Kind::Answer) {
    ++aGroup.mFailed;
    return;
  }
  aGroup.mLatencies.Add(aLatency);
  aGroup.mFractions += aVerdict.mFraction;
  if (aVerdict.mFraction > kWholeCoverage) {
    ++aGroup.mComplete;
  } else {
    ++aGroup.mPartial;
  }
}

void
LoadReport::Add(const PlannedRequest& aRequest,
                const SendResult& aResult,
                const AnswerVerdict& aVerdict,
                Duration aArrival,
                Duration aLatency)
{
  const std::int64_t second =
    std::chrono::duration_cast<seconds>(aArrival).count();
  AddTo(mAll, aResult, aVerdict, aLatency);
  AddTo(mClasses[aRequest.mClass], aResult, aVerdict, aLatency);
  AddTo(mSeconds[second], aResult, aVerdict, aLatency);
  mSends += aResult.mSends;
  mSubQueries += aVerdict.mShards;
  mExtraAttempts += aVerdict.mExtraAttempts;
  if (!aVerdict.mFault.empty()) {
    ++mFaults[aVerdict.mFault];
  } else if (aResult.mKind != SendResult::Kind::Answer) {
    ++mRefusals[RefusalName(aResult)];
  }
}

Json::Value
LoadReport::Summary() const
{
  return mAll.Figures();
}

Json::Value
LoadReport::Whole() const
{
  Json::Value whole = mAll.Figures();
  whole["p999_ms"] = Rounded(mAll.mLatencies.Quantile(kP999));
  for (const auto& [name, group] : mClasses) {
    whole["classes"][name.value()] = group.Figures();
    whole["classes"][name.value()]["p999_ms"] =
      Rounded(group.mLatencies.Quantile(kP999));
  }
  for (const auto& [second, group] : mSeconds) {
    Json::Value figures = group.Figures();
    figures["second"] = Json::Int64(second);
    whole["seconds"].append(std::move(figures));
  }
  whole["sub_queries"] = Json::UInt64(mSubQueries);
  whole["extra_attempts"] = Json::UInt64(mExtraAttempts);
  whole["extra_load"] = static_cast<double>(mExtraAttempts) /
                        std::max(1.0, static_cast<double>(mSubQueries));
  whole["sends"] = Json::UInt64(mSends);
  for (const auto& [name, count] : mRefusals) {
    whole["refusals"][name] = Json::UInt64(count);
  }
  for (const auto& [name, count] : mFaults) {
    whole["faults"][name] = Json::UInt64(count);
  }
  return whole;
}

std::string
LoadReport::Text() const
{
  std::string text;
  char line[256];
  for (const auto& [name, group] : mClasses) {
    std::snprintf(
      line,
      sizeof(line),
      "%s: %llu queries, %llu complete, %llu partial, %llu failed, "
      "%llu wrong, coverage %.5f, p50 %.1f p99 %.1f p99.9 %.1f ms\n",
      name.value().c_str(),
      static_cast<unsigned long long>(group.mQueries),
      static_cast<unsigned long long>(group.mComplete),
      static_cast<unsigned long long>(group.mPartial),
      static_cast<unsigned long long>(group.mFailed),
      static_cast<unsigned long long>(group.mWrong),
      group.Coverage(),
      group.mLatencies.Quantile(kMedian),
      group.mLatencies.Quantile(kP99),
      group.mLatencies.Quantile(kP999));
    text += line + group.mLatencies.Histogram();
  }
  text += "second: complete/partial/failed\n ";
  for (const auto& [second, group] : mSeconds) {
    std::snprintf(line,
                  sizeof(line),
                  " %lld:%llu/%llu/%llu",
                  static_cast<long long>(second),
                  static_cast<unsigned long long>(group.mComplete),
                  static_cast<unsigned long long>(group.mPartial),
                  static_cast<unsigned long long>(group.mFailed));
    text += line;
  }
  std::snprintf(line,
                sizeof(line),
                "\nextra attempts: %llu of %llu sub-queries; sends: %llu\n",
                static_cast<unsigned long long>(mExtraAttempts),
                static_cast<unsigned long long>(mSubQueries),
                static_cast<unsigned long long>(mSends));
  text += line;
  for (const auto& [name, count] : mRefusals) {
    text += "failed: " + name + ": " + std::to_string(count) + '\n';
  }
  for (const auto& [name, count] : mFaults) {
    text += "WRONG: " + name + ": " + std::to_string(count) + '\n';
  }
  return text;
}

} // namespace verbenachute::load
