#pragma once

#include <LibDispatch/DispatchId.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace verbenachute {

/// Sub-queries that wait for one target: higher weights first, and in the
/// order of their arrival within a weight.
class SubQueryQueue
{
public:
  explicit SubQueryQueue(std::size_t aLimit);

  /// Puts a sub-query into the queue. When the queue is full, the youngest of
  /// the lowest weight is put out and returned, which may be the new one.
  [[nodiscard]] std::optional<DispatchId> Push(DispatchId aId,
                                               std::uint32_t aWeight);
  [[nodiscard]] std::optional<DispatchId> First() const;
  void Remove(DispatchId aId);
  /// Number of sub-queries that a new one of this weight would wait for.
  [[nodiscard]] std::size_t Ahead(std::uint32_t aWeight) const;
  [[nodiscard]] std::vector<DispatchId> All() const;
  [[nodiscard]] std::size_t size() const { return mOrder.size(); }
  [[nodiscard]] bool empty() const { return mOrder.empty(); }

private:
  struct Place
  {
    std::uint32_t mWeight = 0;
    std::uint64_t mSequence = 0;
  };
  struct IsBefore
  {
    bool operator()(const Place& aOne, const Place& aOther) const;
  };

  std::size_t mLimit;
  std::uint64_t mSequence = 0;
  std::map<Place, DispatchId, IsBefore> mOrder;
  std::map<DispatchId, Place> mPlaces;
};

} // namespace verbenachute
