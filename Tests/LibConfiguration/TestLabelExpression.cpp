#include <LibConfiguration/LabelExpression.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace verbenachute {

TEST_CASE("Expressions match labels")
{
  const LabelSet labels{ { "tier", "gold" }, { "state", "ok" } };
  struct Row
  {
    const char* mText;
    bool mMatches;
  };
  for (const Row& row : { Row{ "*", true },
                          Row{ "tier=gold", true },
                          Row{ " tier = gold , state!=fragile ", true },
                          Row{ "tier=gold,state=fragile", false },
                          Row{ "has(tier),!has(cold)", true },
                          Row{ "has(cold)", false },
                          Row{ "cold!=yes", true } }) {
    CAPTURE(row.mText);
    const Result<LabelExpression> expression =
      LabelExpression::Create(row.mText);
    REQUIRE(!IsError(expression));
    CHECK(ValueOf(expression).Matches(labels) == row.mMatches);
    CHECK(ValueOf(LabelExpression::Create(ValueOf(expression).Text())) ==
          ValueOf(expression));
  }
}

TEST_CASE("Faults in expressions are refused with their position")
{
  struct Row
  {
    const char* mText;
    const char* mPosition;
  };
  for (const Row& row : { Row{ "", "position 1:" },
                          Row{ "tier", "position 5:" },
                          Row{ "tier=", "position 6:" },
                          Row{ "tier=gold,", "position 11:" },
                          Row{ "tier=gold;x=y", "position 10:" },
                          Row{ "has(tier", "position 9:" },
                          Row{ "!tier=gold", "position 2:" },
                          Row{ "*,tier=gold", "position 2:" } }) {
    CAPTURE(row.mText);
    const Result<LabelExpression> expression =
      LabelExpression::Create(row.mText);
    REQUIRE(IsError(expression));
    CHECK(ErrorOf(expression).mMessage.find(row.mPosition) !=
          std::string::npos);
  }
  CHECK(IsError(LabelExpression::Create(std::string(10'000, 'a') + "=b")));
}

TEST_CASE("Hostile text is refused or read back as it was written")
{
  CHECK(rc::check([] {
    const std::string text = *rc::gen::container<std::string>(
      rc::gen::oneOf(rc::gen::elementOf(std::string("ab=!,()* has")),
                     rc::gen::arbitrary<char>()));
    const Result<LabelExpression> expression = LabelExpression::Create(text);
    if (!IsError(expression)) {
      RC_ASSERT(ValueOf(LabelExpression::Create(ValueOf(expression).Text())) ==
                ValueOf(expression));
    }
  }));
}

} // namespace verbenachute
