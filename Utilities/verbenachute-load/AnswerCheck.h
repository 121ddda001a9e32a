#pragma once

#include "PlannedRequest.h"
#include "SiteFile.h"

#include <json/value.h>

#include <string>

namespace verbenachute::load {

/// What an answer is worth, against the data that the searchers hold.
struct AnswerVerdict
{
  /// Why the answer is wrong; empty if it is right.
  std::string mFault;
  /// Share of the shards that the answer stands for.
  double mFraction = 0;
  std::uint32_t mShards = 0;
  std::uint32_t mExtraAttempts = 0;
};

/// Computes the merged answer of the request anew, for the snapshot and the
/// missing shards that the answer states, and compares hit by hit: a lost,
/// doubled, crossed or mixed hit makes it wrong.
[[nodiscard]] AnswerVerdict
CheckAnswer(const PlannedRequest& aRequest,
            const SiteFile& aSite,
            const Json::Value& aAnswer);

/// A refusal is wrong if it is another request's; empty if it is right.
[[nodiscard]] std::string
CheckRefusal(const PlannedRequest& aRequest, const Json::Value& aRefusal);

} // namespace verbenachute::load
