#include <LibConfiguration/LabelExpression.h>

#include <LibConfiguration/LabelExpressionParser.h>

#include <algorithm>

namespace verbenachute {

Result<LabelExpression>
LabelExpression::Create(std::string_view aText)
{
  return LabelExpressionParser(aText).Parse();
}

bool
LabelExpression::Matches(const LabelSet& aLabels) const
{
  return std::all_of(
    mTerms.begin(), mTerms.end(), [&aLabels](const Term& aTerm) {
      return Holds(aTerm, aLabels);
    });
}

bool
LabelExpression::Holds(const Term& aTerm, const LabelSet& aLabels)
{
  const auto found = aLabels.find(aTerm.mKey);
  const bool present = found != aLabels.end();
  switch (aTerm.mOperator) {
    case Operator::Equals:
      return present && found->second == aTerm.mValue;
    case Operator::Differs:
      return !present || found->second != aTerm.mValue;
    case Operator::Has:
      return present;
    case Operator::Lacks:
      return !present;
  }
  return false;
}

std::string
LabelExpression::Text() const
{
  std::string text;
  for (const Term& term : mTerms) {
    text += text.empty() ? "" : ",";
    switch (term.mOperator) {
      case Operator::Equals:
        text += term.mKey + "=" + term.mValue;
        break;
      case Operator::Differs:
        text += term.mKey + "!=" + term.mValue;
        break;
      case Operator::Has:
        text += "has(" + term.mKey + ")";
        break;
      case Operator::Lacks:
        text += "!has(" + term.mKey + ")";
        break;
    }
  }
  return text.empty() ? "*" : text;
}

} // namespace verbenachute
