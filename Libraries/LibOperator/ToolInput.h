#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <map>
#include <string>
#include <vector>

namespace verbenachute {

/// What stands on the command line and in the environment. Accessors check
/// what they read; the first fault is kept and returned by Check.
class ToolInput
{
public:
  using Flags = std::map<std::string, std::string>;

  /// aFlags has every flag of the table.
  ToolInput(std::vector<std::string> aWords, Flags aFlags);

  /// Flags with their defaults, overridden by environment variables and then
  /// by given flags. A variable with the prefix VERBENACHUTE_ that is neither
  /// a flag of the tool nor a setting of the daemon is InvalidInput.
  [[nodiscard]] static Result<Flags> MergeFlags(const char* const* aEnvironment,
                                                const Flags& aGiven);

  /// Words after the command.
  [[nodiscard]] const std::vector<std::string>& Words() const { return mWords; }
  [[nodiscard]] std::string Word(std::size_t aPosition) const;

  [[nodiscard]] const std::string& Text(const char* aFlag) const;
  [[nodiscard]] std::string Required(const char* aFlag);
  [[nodiscard]] std::uint64_t Number(const char* aFlag,
                                     std::uint64_t aLeast,
                                     std::uint64_t aMost);
  [[nodiscard]] bool Flag(const char* aFlag);
  [[nodiscard]] SocketAddress Address(const char* aFlag);
  void Set(const char* aFlag, std::string aText);
  void Fail(const std::string& aMessage);
  /// The first fault, at the step Settings with the code InvalidInput.
  [[nodiscard]] Result<Success> Check() const;

  /// The same flags with other words.
  [[nodiscard]] ToolInput WithWords(std::vector<std::string> aWords) const;

private:
  std::vector<std::string> mWords;
  Flags mFlags;
  std::string mFault;
};

} // namespace verbenachute
