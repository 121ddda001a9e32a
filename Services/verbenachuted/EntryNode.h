#pragma once

#include "Flags.h"

#include <LibCore/Error.h>
#include <LibSettings/Settings.h>

#include <memory>

namespace verbenachute {

/// A node that sends straight to targets and meets its surroundings through
/// the platform adapter.
class EntryNode
{
public:
  /// Binds all addresses; fails with step Settings if one can not be bound.
  [[nodiscard]] static Result<std::unique_ptr<EntryNode>> Create(
    const CommandLine& aCommandLine,
    const Settings& aSettings);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  /// Runs until the node has stopped; gives the exit status.
  [[nodiscard]] int Run();

private:
  class Parts;

  explicit EntryNode(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> mParts;
};

} // namespace verbenachute
