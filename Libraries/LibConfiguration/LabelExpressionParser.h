#pragma once

#include <LibConfiguration/LabelExpression.h>

#include <optional>

namespace verbenachute {

/// Recursive-descent parser of label expressions, for a single text.
class LabelExpressionParser
{
public:
  explicit LabelExpressionParser(std::string_view aText)
    : mText(aText)
  {
  }

  [[nodiscard]] Result<LabelExpression> Parse();

private:
  using Term = LabelExpression::Term;
  using Operator = LabelExpression::Operator;

  [[nodiscard]] Result<Term> ParseTerm();
  [[nodiscard]] Result<Term> ParseHas(Operator aOperator);
  [[nodiscard]] Result<std::string> ParseWord(const char* aWhat);
  [[nodiscard]] bool Take(std::string_view aToken);
  void SkipSpaces();
  [[nodiscard]] bool AtEnd() const { return mPosition == mText.size(); }
  [[nodiscard]] Error Fault(const std::string& aMessage) const;

  std::string_view mText;
  std::size_t mPosition = 0;
};

} // namespace verbenachute
