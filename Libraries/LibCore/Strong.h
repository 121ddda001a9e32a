#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace verbenachute {

/// Gives a value a type of its own, distinct from other values of the same
/// representation. Tag is an incomplete type that only distinguishes the types.
template<typename Tag, typename Representation>
class Strong
{
public:
  using ValueType = Representation;

  constexpr Strong() = default;
  constexpr explicit Strong(Representation aValue)
    : mValue(std::move(aValue))
  {
  }

  /// The underlying value, for codecs and messages.
  [[nodiscard]] constexpr const Representation& value() const { return mValue; }

  friend constexpr bool operator==(const Strong&, const Strong&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): the rewritten 0 is no pointer.
  friend constexpr auto operator<=>(const Strong&, const Strong&) = default;

private:
  Representation mValue{};
};

} // namespace verbenachute

template<typename Tag, typename Representation>
struct std::hash<verbenachute::Strong<Tag, Representation>>
{
  std::size_t operator()(
    const verbenachute::Strong<Tag, Representation>& aStrong) const
  {
    return std::hash<Representation>{}(aStrong.value());
  }
};
