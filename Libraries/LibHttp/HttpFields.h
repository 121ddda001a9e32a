#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace verbenachute {

/// One header field as it stood on the wire.
struct HttpField
{
  std::string mName;
  std::string mValue;

  friend bool operator==(const HttpField&, const HttpField&) = default;
};

/// Whether two header names are the same; case does not count.
[[nodiscard]] bool
SameFieldName(std::string_view aOne, std::string_view aOther);

/// Header fields in the order of the wire; a name may stand more than once.
class HttpFields
{
public:
  void Add(std::string aName, std::string aValue);
  /// The value of the first field of that name, or nothing.
  [[nodiscard]] const std::string* Find(std::string_view aName) const;
  /// Removes all fields of that name.
  void Remove(std::string_view aName);
  /// Removes the fields that concern one connection only: those of RFC 9110
  /// section 7.6.1 and those that Connection names.
  void RemoveHopByHop();

  [[nodiscard]] const std::vector<HttpField>& All() const { return mFields; }
  [[nodiscard]] std::vector<HttpField>& All() { return mFields; }

private:
  std::vector<HttpField> mFields;
};

} // namespace verbenachute
