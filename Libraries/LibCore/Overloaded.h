#pragma once

namespace verbenachute {

/// Joins lambdas into one visitor of a variant.
template<typename... Functions>
struct Overloaded : Functions...
{
  using Functions::operator()...;
};

template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace verbenachute
