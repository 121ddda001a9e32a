#include <LibDispatch/Cancellations.h>

namespace verbenachute {

void
Cancellations::Ask(TargetLane& aLane, Work& aWork, DispatchActions* aActions)
{
  if (aWork.mCancellation == Cancellation::Asked ||
      aWork.mConnection != Connection::Open ||
      !aLane.HasConnection(ExchangeKind::Control)) {
    return;
  }
  aWork.mCancellation = Cancellation::Asked;
  aLane.StartControl();
  mAsked[aWork.mId] = aLane.Entry().mName;
  aActions->emplace_back(
    CancelAtTarget{ aWork.mId, aLane.Entry().mName, aLane.Entry().mAddress });
}

std::optional<TargetName>
Cancellations::Take(DispatchId aId)
{
  const auto asked = mAsked.find(aId);
  if (asked == mAsked.end()) {
    return std::nullopt;
  }
  const TargetName target = asked->second;
  mAsked.erase(asked);
  return target;
}

} // namespace verbenachute
