#pragma once

#include "Flags.h"

#include <LibCore/Error.h>
#include <LibSettings/Settings.h>

#include <memory>

namespace verbenachute {

/// A node that sends requests directly to targets. Callers, the platform and
/// the platform's store are reached through the platform adapter.
class EntryNode
{
public:
  /// Binds all listening addresses. Fails with step Settings if one of them
  /// cannot be bound.
  [[nodiscard]] static Result<std::unique_ptr<EntryNode>> Create(
    const CommandLine& aCommandLine,
    const Settings& aSettings);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /// Runs until the node has shut down. Returns the exit status of the process.
  [[nodiscard]] int Run();

private:
  class Parts;

  explicit EntryNode(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> mParts;
};

} // namespace verbenachute
