#include <LibHttp/HttpFields.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace verbenachute {

namespace {

constexpr std::string_view kHopByHopFields[] = {
  "Connection",
  "Keep-Alive",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "Proxy-Connection",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
};

char
ToLower(char aCharacter)
{
  return static_cast<char>(
    std::tolower(static_cast<unsigned char>(aCharacter)));
}

std::vector<std::string>
SplitFieldNames(std::string_view aList)
{
  std::vector<std::string> names;
  std::string name;
  for (const char character : aList) {
    if (character == ',') {
      names.push_back(std::exchange(name, {}));
    } else if (character != ' ' && character != '\t') {
      name += character;
    }
  }
  names.push_back(std::move(name));
  return names;
}

} // namespace

bool
FieldNamesEqual(std::string_view aOne, std::string_view aOther)
{
  return aOne.size() == aOther.size() &&
         std::equal(aOne.begin(),
                    aOne.end(),
                    aOther.begin(),
                    [](char aLeft, char aRight) {
                      return ToLower(aLeft) == ToLower(aRight);
                    });
}

void
HttpFields::Add(std::string aName, std::string aValue)
{
  mFields.push_back(HttpField{ std::move(aName), std::move(aValue) });
}

const std::string*
HttpFields::Find(std::string_view aName) const
{
  for (const HttpField& field : mFields) {
    if (FieldNamesEqual(field.mName, aName)) {
      return &field.mValue;
    }
  }
  return nullptr;
}

void
HttpFields::Remove(std::string_view aName)
{
  std::erase_if(mFields, [&](const HttpField& aField) {
    return FieldNamesEqual(aField.mName, aName);
  });
}

void
HttpFields::RemoveHopByHop()
{
  std::vector<std::string> named;
  for (const HttpField& field : mFields) {
    if (FieldNamesEqual(field.mName, "Connection")) {
      for (std::string& name : SplitFieldNames(field.mValue)) {
        named.push_back(std::move(name));
      }
    }
  }
  for (const std::string& name : named) {
    Remove(name);
  }
  for (const std::string_view name : kHopByHopFields) {
    Remove(name);
  }
}

} // namespace verbenachute
