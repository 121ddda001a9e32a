#include <LibConfiguration/LabelExpressionParser.h>

#include <LibConfiguration/NameRules.h>

namespace verbenachute {

Result<LabelExpression>
LabelExpressionParser::Parse()
{
  if (mText.size() > LabelExpression::kTextBytes) {
    return Fault("the expression is longer than " +
                 std::to_string(LabelExpression::kTextBytes) + " bytes");
  }
  LabelExpression expression;
  if (Take("*")) {
    return AtEnd() ? Result<LabelExpression>(expression)
                   : Fault("'*' must stand alone");
  }
  do {
    Result<Term> term = ParseTerm();
    if (IsError(term)) {
      return ErrorOf(term);
    }
    expression.mTerms.push_back(ReleaseValue(std::move(term)));
  } while (Take(","));
  if (!AtEnd()) {
    return Fault("expected ',' or the end");
  }
  return expression;
}

Result<LabelExpressionParser::Term>
LabelExpressionParser::ParseTerm()
{
  if (Take("!")) {
    return Take("has(") ? ParseHas(Operator::Lacks)
                        : Result<Term>(Fault("expected 'has(' after '!'"));
  }
  if (Take("has(")) {
    return ParseHas(Operator::Has);
  }
  Result<std::string> key = ParseWord("a label key");
  if (IsError(key)) {
    return ErrorOf(key);
  }
  const bool differs = Take("!=");
  if (!differs && !Take("=")) {
    return Fault("expected '=' or '!='");
  }
  Result<std::string> value = ParseWord("a label value");
  if (IsError(value)) {
    return ErrorOf(value);
  }
  return Term{ ReleaseValue(std::move(key)),
               differs ? Operator::Differs : Operator::Equals,
               ReleaseValue(std::move(value)) };
}

Result<LabelExpressionParser::Term>
LabelExpressionParser::ParseHas(Operator aOperator)
{
  Result<std::string> key = ParseWord("a label key");
  if (IsError(key)) {
    return ErrorOf(key);
  }
  if (!Take(")")) {
    return Fault("expected ')'");
  }
  return Term{ ReleaseValue(std::move(key)), aOperator, "" };
}

Result<std::string>
LabelExpressionParser::ParseWord(const char* aWhat)
{
  SkipSpaces();
  const std::size_t start = mPosition;
  while (!AtEnd() && IsNameCharacter(mText[mPosition])) {
    ++mPosition;
  }
  const std::string_view word = mText.substr(start, mPosition - start);
  if (word.empty() || word.size() > kNameBytes) {
    mPosition = start;
    return Fault(std::string("expected ") + aWhat + " of 1 to " +
                 std::to_string(kNameBytes) + " characters");
  }
  return std::string(word);
}

bool
LabelExpressionParser::Take(std::string_view aToken)
{
  SkipSpaces();
  if (mText.substr(mPosition, aToken.size()) != aToken) {
    return false;
  }
  mPosition += aToken.size();
  SkipSpaces();
  return true;
}

void
LabelExpressionParser::SkipSpaces()
{
  while (!AtEnd() && mText[mPosition] == ' ') {
    ++mPosition;
  }
}

Error
LabelExpressionParser::Fault(const std::string& aMessage) const
{
  return Error{ Step::Parse,
                ErrorCode::InvalidInput,
                "",
                "label expression, position " + std::to_string(mPosition + 1) +
                  ": " + aMessage };
}

} // namespace verbenachute
