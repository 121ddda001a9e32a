#include <LibOnce/TicketIssuer.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

TicketIssuer::TicketIssuer(NodeIdentity aSelf, Settings aSettings, Instant aNow)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mStart(aNow)
{
  mGenerations.push_back(Generation{ mSelf.mIncarnation, aNow });
}

NodeIdentity
TicketIssuer::Current(Instant aNow)
{
  if (IsDue(aNow)) {
    Begin(aNow);
  }
  return NodeIdentity{ mSelf.mName, mGenerations.back().mNumber };
}

TicketIssuer::Standing
TicketIssuer::StandingOf(const NodeIdentity& aTicket, Instant aNow) const
{
  const Generation* generation = Find(aTicket);
  if (generation == nullptr || aNow >= EndOf(*generation)) {
    return Standing::Unknown;
  }
  return generation->mStanding;
}

std::optional<Instant>
TicketIssuer::RunsOutAt(const NodeIdentity& aTicket) const
{
  const Generation* generation = Find(aTicket);
  if (generation == nullptr) {
    return std::nullopt;
  }
  return EndOf(*generation);
}

bool
TicketIssuer::IsDue(Instant aNow) const
{
  if (mIssue == Issue::Ended) {
    return false;
  }
  const Generation& last = mGenerations.back();
  const Duration age = aNow - last.mStart;
  return age >= mSettings.mIssuePeriod || (last.mStanding == Standing::Closed &&
                                           age >= mSettings.mShortestPeriod);
}

void
TicketIssuer::End()
{
  CloseIssued();
  mIssue = Issue::Ended;
}

void
TicketIssuer::CloseIssued()
{
  for (Generation& generation : mGenerations) {
    generation.mStanding = Standing::Closed;
  }
}

void
TicketIssuer::Begin(Instant aNow)
{
  // Each generation differs from those of this life by growing, and from
  // those of other lives by starting at this life's incarnation.
  const std::uint64_t age = static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(aNow - mStart).count());
  const std::uint64_t number = std::max(mGenerations.back().mNumber.value() + 1,
                                        mSelf.mIncarnation.value() + age);
  while (!mGenerations.empty() && aNow >= EndOf(mGenerations.front())) {
    mGenerations.pop_front();
  }
  mGenerations.push_back(Generation{ Incarnation(number), aNow });
}

const TicketIssuer::Generation*
TicketIssuer::Find(const NodeIdentity& aTicket) const
{
  const auto found =
    std::ranges::find(mGenerations, aTicket.mIncarnation, &Generation::mNumber);
  if (aTicket.mName != mSelf.mName || found == mGenerations.end()) {
    return nullptr;
  }
  return &*found;
}

Instant
TicketIssuer::EndOf(const Generation& aGeneration) const
{
  return aGeneration.mStart + mSettings.mIssuePeriod + mSettings.mValidity +
         mSettings.mMargin;
}

} // namespace verbenachute
