#pragma once

#include <LibCore/Time.h>
#include <LibLease/Bucket.h>

namespace verbenachute {

/// Tells the dispatch gate which buckets this node may dispatch to.
class LeaseAuthority
{
public:
  virtual ~LeaseAuthority() = default;

  /// Whether this node holds the bucket at aNow and is not handing it over.
  [[nodiscard]] virtual bool MayDispatch(const Bucket& aBucket,
                                         Instant aNow) const = 0;
  /// Revision of configuration below which nothing may be dispatched.
  [[nodiscard]] virtual Revision RequiredRevision() const = 0;
};

} // namespace verbenachute
