#pragma once

#include <LibCore/Error.h>
#include <LibMembership/AddressAnswer.h>
#include <LibMembership/MemberTable.h>

#include <optional>

namespace verbenachute {

/// Spreads callers over the live nodes. All nodes give a caller the same
/// answer while they see the same members, and the loss of a node moves only
/// its own callers.
class AddressAnswerer
{
public:
  struct Settings
  {
    Duration mValidity = seconds(5);
    Duration mTicketValidity = seconds(600);
    std::size_t mMaxAddresses = 3;
  };

  explicit AddressAnswerer(Settings aSettings);

  /// Unavailable at the step Membership if this node leaves and knows no
  /// other that is alive.
  [[nodiscard]] Result<AddressAnswer> Answer(const CallerId& aCaller,
                                             const MemberTable& aMembers,
                                             Instant aNow);

  /// When the last answer given runs out; nothing if there was none.
  [[nodiscard]] std::optional<Instant> LatestExpiry() const
  {
    return mLatestExpiry;
  }

  [[nodiscard]] Duration Validity() const { return mSettings.mValidity; }

private:
  Settings mSettings;
  std::optional<Instant> mLatestExpiry;
};

} // namespace verbenachute
