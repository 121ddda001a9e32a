#pragma once

#include <LibCore/Error.h>

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace verbenachute {

/// Strictly reads the fields of a JSON object. Finish returns the first error,
/// after which fields read as empty. Fields that were not read are an error
/// too.
class JsonObjectReader
{
public:
  /// aWhat names the object in messages, such as "target". The value must
  /// outlive the reader.
  JsonObjectReader(const Json::Value& aObject, std::string aWhat);

  [[nodiscard]] bool Has(const char* aField);
  [[nodiscard]] std::string Text(const char* aField);
  [[nodiscard]] std::string TextOr(const char* aField, const char* aDefault);
  [[nodiscard]] std::optional<std::string> OptionalText(const char* aField);
  [[nodiscard]] std::uint64_t Number(const char* aField);
  [[nodiscard]] std::uint64_t NumberOr(const char* aField,
                                       std::uint64_t aDefault);
  [[nodiscard]] bool FlagOr(const char* aField, bool aDefault);
  /// Texts in the order of the array.
  [[nodiscard]] std::vector<std::string> Texts(const char* aField);
  [[nodiscard]] std::vector<std::string> TextsOrNone(const char* aField);
  /// Elements of an array; an absent one has none.
  [[nodiscard]] std::vector<const Json::Value*> Elements(const char* aField);
  /// The value of a field of any type, or JSON null if it is absent.
  [[nodiscard]] const Json::Value& Any(const char* aField);
  /// Returns the value of a result, or records its error.
  template<typename Value>
  [[nodiscard]] Value Take(Result<Value> aResult)
  {
    if (IsError(aResult)) {
      Fail(ErrorOf(aResult).mMessage);
      return Value{};
    }
    return ReleaseValue(std::move(aResult));
  }

  [[nodiscard]] Result<Success> Finish() const;

private:
  [[nodiscard]] const Json::Value* Find(const char* aField);
  [[nodiscard]] const Json::Value* Require(const char* aField);
  void Fail(const std::string& aMessage);
  void FailType(const char* aField, const char* aType);

  const Json::Value& mObject;
  std::string mWhat;
  std::set<std::string> mRead;
  std::optional<Error> mFault;
};

} // namespace verbenachute
