#include <LibOnce/OnceOutcome.h>

#include <utility>

namespace verbenachute {

namespace {

std::size_t
BytesOf(const QueryAnswer& aAnswer)
{
  std::size_t bytes = sizeof(QueryAnswer) + aAnswer.mRequest.value().size() +
                      aAnswer.mService.value().size();
  bytes += aAnswer.mCoverage.mMissing.size() * sizeof(ShardId);
  for (const Hit& hit : aAnswer.mHits) {
    bytes += sizeof(Hit) + hit.mIdentifier.size() + hit.mText.size();
  }
  return bytes;
}

std::size_t
BytesOf(const QueryRefusal& aRefusal)
{
  return sizeof(QueryRefusal) + aRefusal.mRequest.value().size() +
         aRefusal.mError.mPeer.size() + aRefusal.mError.mMessage.size();
}

} // namespace

Execution
ExecutionOf(const QueryOutcome& aOutcome)
{
  const QueryRefusal* refusal = std::get_if<QueryRefusal>(&aOutcome);
  return refusal == nullptr ? Execution::Ran : refusal->mExecution;
}

std::size_t
OutcomeBytes(const QueryOutcome& aOutcome)
{
  return std::visit(
    [](const auto& aAlternative) { return BytesOf(aAlternative); }, aOutcome);
}

QueryRefusal
WithoutAnswer(const RequestId& aRequest, const QueryOutcome& aOutcome)
{
  const QueryRefusal* refusal = std::get_if<QueryRefusal>(&aOutcome);
  return OnceRefusal(aRequest,
                     refusal == nullptr ? ErrorCode::TooLarge
                                        : refusal->mError.mCode,
                     ExecutionOf(aOutcome),
                     "",
                     "the outcome was too large to keep for repeats");
}

QueryRefusal
OnceRefusal(const RequestId& aRequest,
            ErrorCode aCode,
            Execution aExecution,
            std::string aPeer,
            std::string aMessage)
{
  return QueryRefusal{
    aRequest,
    Error{ Step::AtMostOnce, aCode, std::move(aPeer), std::move(aMessage) },
    aExecution
  };
}

} // namespace verbenachute
