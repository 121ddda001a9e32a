#include <LibForward/CallerRequest.h>

#include <utility>

namespace verbenachute {

std::size_t
MemoryOf(const CallerRequest& aRequest)
{
  std::size_t bytes = aRequest.mBody.capacity() + aRequest.mTarget.capacity() +
                      aRequest.mFields.All().capacity() * sizeof(HttpField);
  for (const HttpField& field : aRequest.mFields.All()) {
    bytes += field.mName.capacity() + field.mValue.capacity();
  }
  return bytes;
}

CallerRequestPointer
WithCharge(CallerRequestPointer aRequest, MemoryBudget::Charge aCharge)
{
  struct ChargedRequest
  {
    CallerRequestPointer mRequest;
    MemoryBudget::Charge mCharge;
  };
  const std::shared_ptr<ChargedRequest> charged =
    std::make_shared<ChargedRequest>(
      ChargedRequest{ std::move(aRequest), std::move(aCharge) });
  return CallerRequestPointer(charged, charged->mRequest.get());
}

} // namespace verbenachute
