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
  CallId mCall;
  PartName mPart;
  std::shared_ptr<const std::string> mText;
};

/// Delete a part from the store; answer with OnPartDeleted whether it was
/// there or not, or OnFailure.
struct DeletePart
{
  CallId mCall;
  PartName mPart;
};

/// Compare-and-swap the head; answer with OnSwapped, OnSwapConflict or
/// OnFailure.
struct SwapHead
{
  CallId mCall;
  std::string mText;
  /// Revision of the key in the store, 0 if it must not exist.
  std::uint64_t mExpected = 0;
};

/// An accepted change.
struct WriteOutcome
{
  ChangeOutcome mChange;
  /// What this writer wrote, and when it sent the swap; empty if the operation
  /// had been applied before.
  std::optional<EncodedConfiguration> mWritten;
  Instant mSent;
};

/// The outcome of a write; only deletions of unused parts follow. After an
/// error with the code OutcomeUnknown the change may come into force; after any
/// other error it will not.
struct WriteFinished
{
  Result<WriteOutcome> mOutcome;
};

using WriterAction = std::
  variant<ReadHead, ReadPart, WritePart, DeletePart, SwapHead, WriteFinished>;

} // namespace verbenachute
