#include <LibEntry/ConfigurationRestore.h>

#include <LibConfiguration/ConfigurationHead.h>

#include <algorithm>

namespace verbenachute {

std::optional<ConfigurationRestore::Rewrite>
ConfigurationRestore::Missing(const Inputs& aInputs)
{
  const ConfigurationHead& inForce = aInputs.mInForce.mHead;
  Rewrite rewrite;
  const auto stored = aInputs.mStored.find(std::string(kHeadKey));
  if (stored == aInputs.mStored.end()) {
    rewrite.mHead = inForce.Text();
  } else {
    const Result<ConfigurationHead> head =
      ConfigurationHead::Create(stored->second);
    // An unreadable head was logged when it arrived; it may be of a later
    // release and is not overwritten.
    if (IsError(head) || ValueOf(head).mRevision > inForce.mRevision) {
      return std::nullopt;
    }
    if (ValueOf(head).mRevision < inForce.mRevision) {
      rewrite.mHead = inForce.Text();
    } else if (!(ValueOf(head) == inForce)) {
      // Another configuration has got the same revision in this era.
      return std::nullopt;
    }
  }
  for (const PartName& name : inForce.mParts) {
    if (!aInputs.mStored.contains(name.Key())) {
      rewrite.mParts.emplace_back(name.Key(),
                                  *aInputs.mInForce.mParts.at(name));
    }
  }
  if (!rewrite.mHead.has_value() && rewrite.mParts.empty()) {
    return std::nullopt;
  }
  return rewrite;
}

std::optional<ConfigurationRestore::Rewrite>
ConfigurationRestore::OnTime(const Inputs& aInputs, Instant aNow)
{
  if (aInputs.mEra == StoreEra() || !aInputs.mInForce.mConfiguration ||
      mIsWriting || aNow < mNextCheck) {
    return std::nullopt;
  }
  mNextCheck = aNow + kCheckInterval;
  std::optional<Rewrite> missing = Missing(aInputs);
  if (!missing.has_value()) {
    mMissingSince.reset();
    return std::nullopt;
  }
  if (!mMissingSince.has_value()) {
    mMissingSince = aNow;
  }
  const Instant turn =
    *mMissingSince + kFirstTurn + static_cast<int>(aInputs.mRank) * kTurn;
  if (aNow < std::max(turn, mNextAttempt)) {
    return std::nullopt;
  }
  mIsWriting = true;
  return missing;
}

void
ConfigurationRestore::OnRewriteEnded(Instant aNow)
{
  mIsWriting = false;
  mNextAttempt = aNow + kRetryTime;
}

} // namespace verbenachute
