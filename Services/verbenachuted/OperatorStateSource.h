#pragma once

#include <LibConfiguration/ConfigurationWriter.h>
#include <LibConfiguration/InForceTracker.h>

#include <memory>
#include <optional>
#include <set>
#include <sigc++/sigc++.h>

namespace verbenachute {

/// What the operators' port has to know of the node that it belongs to.
class OperatorStateSource
{
public:
  virtual ~OperatorStateSource() = default;

  /// In force at this node, with all targets in it; null before the first.
  [[nodiscard]] virtual std::shared_ptr<const Configuration> InForce() = 0;
  /// Largest revision that any source is known to have.
  [[nodiscard]] virtual Revision Known() const = 0;
  /// When the revision was last confirmed to be the latest.
  [[nodiscard]] virtual std::optional<Instant> Confirmed() const = 0;
  /// Failure domains that get no new work by another's will than the
  /// operators' of this product.
  [[nodiscard]] virtual std::set<FailureDomain> DomainsOut() const = 0;

  /// What a writer starts from, and what it is to write.
  [[nodiscard]] virtual WriterBase Base() const = 0;
  [[nodiscard]] virtual WriteTask TaskOf(
    const ChangeRequest& aRequest) const = 0;
  virtual void OnWritten(const EncodedConfiguration& aWritten,
                         Instant aSent) = 0;
  /// Groups of targets of which a change may not take the last one, besides
  /// the services; may be empty.
  [[nodiscard]] virtual std::vector<CoverageGroup> Shards() const = 0;

  /// Brings what nodes have in force up to date.
  virtual void UpdateNodes(InForceTracker* aTracker, Instant aNow) = 0;
  /// Emitted when a larger revision comes into force here.
  [[nodiscard]] virtual sigc::signal<void()>& Applied() = 0;
};

} // namespace verbenachute
