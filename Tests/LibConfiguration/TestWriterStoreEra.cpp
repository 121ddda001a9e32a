#include "TestConfigurations.h"

#include <LibConfiguration/ConfigurationWriter.h>

namespace verbenachute {

namespace {

constexpr Instant kNow{ seconds(100) };

template<typename Action>
const Action&
First(const ConfigurationWriter::Actions& aActions)
{
  for (const WriterAction& action : aActions) {
    if (const Action* found = std::get_if<Action>(&action)) {
      return *found;
    }
  }
  REQUIRE_MESSAGE(false, "the action is missing");
  std::abort();
}

/// Answers the writes of parts until another action comes.
ConfigurationWriter::Actions
WriteParts(ConfigurationWriter* aWriter,
           ConfigurationWriter::Actions aActions,
           std::size_t* aCount)
{
  while (!aActions.empty() &&
         std::holds_alternative<WritePart>(aActions.front())) {
    const ConfigurationWriter::Actions writes = std::exchange(aActions, {});
    for (const WriterAction& action : writes) {
      ++*aCount;
      aActions =
        aWriter->OnPartWritten(std::get<WritePart>(action).mCall, kNow);
    }
  }
  return aActions;
}

} // namespace

// Guards against a head whose parts were lost with the store's last seconds:
// the swap is made by the restored store, where the head's key has the expected
// revision, but the response is of the new era.
TEST_CASE("A swap across a restore of the store writes its parts again")
{
  const ConfigurationPointer configuration = SmallConfiguration();
  const Result<EncodedConfiguration> encoded = ConfigurationCodec::Encode(
    *configuration, ConfigurationHead(), PartTag("test"));
  REQUIRE(!IsError(encoded));
  const WriterBase base{ configuration,
                         ValueOf(encoded).mHead,
                         ValueOf(encoded).mParts };
  ConfigurationWriter writer({ NodeName("n"), Incarnation(1) },
                             1,
                             LabelRequest("op", "tier", "gold"),
                             base);
  ConfigurationWriter::Actions actions = writer.Start(kNow);
  writer.OnEra(StoreEra());
  actions =
    writer.OnHead(First<ReadHead>(actions).mCall, base.mHead.Text(), 50, kNow);
  std::size_t partsWritten = 0;
  actions = WriteParts(&writer, std::move(actions), &partsWritten);
  REQUIRE(partsWritten > 0);
  const SwapHead swap = First<SwapHead>(actions);
  CHECK(writer.OnFailure(swap.mCall, Execution::OutcomeUnknown, kNow).empty());

  const Instant later = writer.NextWake();
  actions = writer.OnTick(later);
  writer.OnEra(StoreEra(1));
  SUBCASE("The swap took effect")
  {
    actions =
      writer.OnHead(First<ReadHead>(actions).mCall, swap.mText, 51, later);
    std::size_t again = 0;
    actions = WriteParts(&writer, std::move(actions), &again);
    CHECK(again >= partsWritten);
    CHECK(!IsError(First<WriteFinished>(actions).mOutcome));
  }
  SUBCASE("The swap was lost")
  {
    actions = writer.OnHead(
      First<ReadHead>(actions).mCall, base.mHead.Text(), 50, later);
    std::size_t again = 0;
    actions = WriteParts(&writer, std::move(actions), &again);
    CHECK(again == partsWritten);
    CHECK(First<SwapHead>(actions).mText == swap.mText);
  }
}

} // namespace verbenachute
