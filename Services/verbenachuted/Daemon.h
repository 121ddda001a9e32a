#pragma once

#include <LibCore/Error.h>
#include <LibSettings/Settings.h>

#include <memory>

namespace verbenachute {

/// One node of the query tier: all roles in one process on one loop.
class Daemon
{
public:
  /// Binds the addresses and puts the roles together; the error tells which
  /// address could not be bound.
  [[nodiscard]] static Result<std::unique_ptr<Daemon>> Create(
    const Settings& aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Runs until a graceful shutdown has ended; gives the exit status.
  [[nodiscard]] int Run();

private:
  class Parts;

  explicit Daemon(std::unique_ptr<Parts> aParts);

  std::unique_ptr<Parts> mParts;
};

} // namespace verbenachute
