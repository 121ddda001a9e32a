#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace verbenachute {

/// One header field as sent or received.
struct HttpField
{
  std::string mName;
  std::string mValue;

  friend bool operator==(const HttpField&, const HttpField&) = default;
};

/// Compares two header field names without regard to case.
[[nodiscard]] bool
FieldNamesEqual(std::string_view aOne, std::string_view aOther);

/// Header fields in the order of the wire; a name may occur more than once.
class HttpFields
{
public:
  void Add(std::string aName, std::string aValue);
  /// The value of the first field of that name, or null.
  [[nodiscard]] const std::string* Find(std::string_view aName) const;
  /// Removes all fields of that name.
  void Remove(std::string_view aName);
  /// Removes the hop-by-hop fields: those of RFC 9110 section 7.6.1, those that
  /// Connection lists, and Content-Length.
  void RemoveHopByHop();

  [[nodiscard]] const std::vector<HttpField>& All() const { return mFields; }
  [[nodiscard]] std::vector<HttpField>& All() { return mFields; }

private:
  std::vector<HttpField> mFields;
};

} // namespace verbenachute
