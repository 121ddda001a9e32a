#pragma once

#include <LibConfiguration/ConfigurationEditor.h>
#include <LibConfiguration/EncodedConfiguration.h>
#include <LibConfiguration/FollowerAction.h>

#include <optional>
#include <variant>

namespace verbenachute {

/// Create a part in the store if its key does not exist; answer with
/// OnPartWritten whether it was created or there already, or OnFailure.
struct WritePart
{
  AskId mAsk;
  PartName mPart;
  std::shared_ptr<const std::string> mText;
};

/// Delete a part from the store; answer with OnPartDeleted whether it was
/// there or not, or OnFailure.
struct DeletePart
{
  AskId mAsk;
  PartName mPart;
};

/// Compare-and-swap the head; answer with OnSwapped, OnSwapConflict or
/// OnFailure.
struct SwapHead
{
  AskId mAsk;
  std::string mText;
  /// Revision of the key in the store, 0 if it must not exist.
  std::uint64_t mExpected = 0;
};

/// An accepted change.
struct WriteOutcome
{
  ChangeOutcome mChange;
  /// What this writer wrote, with the Instant at which it sent the swap; none
  /// if the operation had been applied before.
  std::optional<EncodedConfiguration> mWritten;
  Instant mSent;
};

/// The end of a write; nothing follows but deletions of parts without use. An
/// error with the code OutcomeUnknown says that the change may be in force
/// now or later; any other error that it is not and will not be.
struct WriteFinished
{
  Result<WriteOutcome> mOutcome;
};

using WriterAction = std::
  variant<ReadHead, ReadPart, WritePart, DeletePart, SwapHead, WriteFinished>;

} // namespace verbenachute
