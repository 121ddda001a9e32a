#include <LibMembership/AddressAnswerer.h>

#include <LibCore/RendezvousHash.h>
#include <LibCore/Verify.h>

#include <algorithm>
#include <set>

namespace verbenachute {

namespace {

enum class Rank
{
  FirstOfDomain,
  Region,
  OtherRegion,
};

struct Candidate
{
  MemberDescription mNode;
  Rank mRank = Rank::Region;
  std::uint64_t mWeight = 0;
};

std::vector<Candidate>
CandidatesFor(const CallerId& aCaller,
              const MemberTable& aMembers,
              Instant aNow)
{
  std::vector<Candidate> candidates;
  for (const MemberDescription& node : aMembers.Offered(aNow)) {
    candidates.push_back(Candidate{
      node,
      node.mRegion == aMembers.Self().mRegion ? Rank::Region
                                              : Rank::OtherRegion,
      RendezvousWeight(aCaller.value(), node.mIdentity.mName.value()) });
  }
  std::ranges::sort(candidates,
                    [](const Candidate& aLeft, const Candidate& aRight) {
                      return std::pair(aLeft.mRank, aRight.mWeight) <
                             std::pair(aRight.mRank, aLeft.mWeight);
                    });
  return candidates;
}

// Moves the first candidate of each failure domain to the front, so that the
// loss of a domain costs a caller one attempt.
void
SpreadOverDomains(std::vector<Candidate>* aCandidates)
{
  std::set<FailureDomain> taken;
  for (Candidate& candidate : *aCandidates) {
    if (candidate.mRank == Rank::Region &&
        taken.insert(candidate.mNode.mDomain).second) {
      candidate.mRank = Rank::FirstOfDomain;
    }
  }
  std::ranges::stable_sort(*aCandidates, {}, &Candidate::mRank);
}

} // namespace

AddressAnswerer::AddressAnswerer(Settings aSettings)
  : mSettings(aSettings)
{
}

Result<AddressAnswer>
AddressAnswerer::Answer(const CallerId& aCaller,
                        const MemberTable& aMembers,
                        Instant aNow)
{
  std::vector<Candidate> candidates = CandidatesFor(aCaller, aMembers, aNow);
  if (candidates.empty()) {
    return Error{ Step::Membership,
                  ErrorCode::Unavailable,
                  "",
                  "this node takes no callers and knows no other that does" };
  }
  SpreadOverDomains(&candidates);
  candidates.resize(std::min(candidates.size(), mSettings.mMaxAddresses));
  AddressAnswer answer;
  for (const Candidate& candidate : candidates) {
    VERIFY(candidate.mNode.mPhase == MemberPhase::Live);
    answer.mAddresses.push_back(candidate.mNode.mCallerAddress);
  }
  const MemberDescription& first = candidates.front().mNode;
  answer.mTicket = NodeIdentity{ first.mIdentity.mName, first.mTicket };
  answer.mValidFor = mSettings.mValidity;
  answer.mTicketValidFor = mSettings.mTicketValidity;
  mLatestExpiry = aNow + mSettings.mValidity;
  return answer;
}

} // namespace verbenachute
