#pragma once

#include <LibConfiguration/LabelSet.h>
#include <LibCore/Error.h>

#include <string>
#include <string_view>
#include <vector>

namespace verbenachute {

/// A condition on labels, such as "tier=gold,state!=fragile,has(cold)". All
/// its terms must hold. "*" alone holds for every target.
class LabelExpression
{
public:
  /// Maximum length of a text that is parsed, in bytes.
  static constexpr std::size_t kTextBytes = 4096;

  /// An expression that holds for every target.
  LabelExpression() = default;

  /// Parses terms separated by commas: KEY=VALUE, KEY!=VALUE, has(KEY) and
  /// !has(KEY). A missing key differs from every value. Fails with
  /// InvalidInput; the message names the position of the error, counted from 1.
  [[nodiscard]] static Result<LabelExpression> Create(std::string_view aText);

  [[nodiscard]] bool Matches(const LabelSet& aLabels) const;
  /// The expression in its shortest form, which Create reads back.
  [[nodiscard]] std::string Text() const;

  friend bool operator==(const LabelExpression&,
                         const LabelExpression&) = default;

private:
  enum class Operator
  {
    Equals,
    Differs,
    Has,
    Lacks,
  };

  struct Term
  {
    std::string mKey;
    Operator mOperator = Operator::Has;
    std::string mValue;

    friend bool operator==(const Term&, const Term&) = default;
  };

  friend class LabelExpressionParser;

  [[nodiscard]] static bool Holds(const Term& aTerm, const LabelSet& aLabels);

  std::vector<Term> mTerms;
};

} // namespace verbenachute
