#include <LibHttp/MessageSyntax.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace verbenachute {

namespace {

// Exceeds the limit of any body.
constexpr std::uint64_t kMaximumChunkBytes = std::uint64_t(1) << 40;
constexpr int kHexadecimal = 16;

/// Whether a character may be part of a token, as field names are.
bool
IsTokenCharacter(char aCharacter)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  const unsigned char character = static_cast<unsigned char>(aCharacter);
  return character < 0x80 &&
         (std::isalnum(character) != 0 ||
          kMarks.find(aCharacter) != std::string_view::npos);
}

} // namespace

bool
MessageSyntax::Check(std::string_view aBytes, BodyFraming aFraming)
{
  while (!aBytes.empty() && mState != State::Invalid) {
    const std::size_t skipped = SizeToSkip(aBytes);
    if (mState == State::ChunkData) {
      mChunkBytes -= skipped;
    }
    aBytes.remove_prefix(skipped);
    if (!aBytes.empty()) {
      mState = Next(aBytes.front(), aFraming);
      aBytes.remove_prefix(1);
    }
  }
  return mState != State::Invalid;
}

std::size_t
MessageSyntax::SizeToSkip(std::string_view aBytes) const
{
  switch (mState) {
    case State::StartLine:
    case State::FieldValue:
    case State::ChunkExtension:
      return std::min(aBytes.find_first_of("\r\n"), aBytes.size());
    case State::ChunkData:
      return static_cast<std::size_t>(
        std::min<std::uint64_t>(mChunkBytes, aBytes.size()));
    case State::PlainBody:
      return aBytes.size();
    default:
      return 0;
  }
}

MessageSyntax::State
MessageSyntax::Next(char aCharacter, BodyFraming aFraming)
{
  if (mState < State::HeadEnd) {
    return NextInHead(aCharacter);
  }
  if (mState != State::HeadEnd) {
    return NextInChunk(aCharacter);
  }
  if (aCharacter != '\n') {
    return State::Invalid;
  }
  return aFraming == BodyFraming::Chunked && !mInTrailer ? State::ChunkSizeStart
                                                         : State::PlainBody;
}

MessageSyntax::State
MessageSyntax::NextInHead(char aCharacter) const
{
  const bool isReturn = aCharacter == '\r';
  const bool isLineFeed = aCharacter == '\n';
  switch (mState) {
    case State::BeforeStartLine:
      // Empty lines may precede a message.
      return isReturn || isLineFeed ? State::BeforeStartLine : State::StartLine;
    case State::StartLine:
      return isReturn ? State::StartLineEnd : State::Invalid;
    case State::FieldStart:
      if (isReturn) {
        return State::HeadEnd;
      }
      return IsTokenCharacter(aCharacter) ? State::FieldName : State::Invalid;
    case State::FieldName:
      if (aCharacter == ':') {
        return State::FieldValue;
      }
      return IsTokenCharacter(aCharacter) ? State::FieldName : State::Invalid;
    case State::FieldValue:
      return isReturn ? State::FieldEnd : State::Invalid;
    case State::StartLineEnd:
    case State::FieldEnd:
      return isLineFeed ? State::FieldStart : State::Invalid;
    default:
      return State::Invalid;
  }
}

MessageSyntax::State
MessageSyntax::NextInChunk(char aCharacter)
{
  const bool isReturn = aCharacter == '\r';
  const bool isLineFeed = aCharacter == '\n';
  switch (mState) {
    case State::ChunkSizeStart:
      mChunkBytes = 0;
      return AddChunkDigit(aCharacter);
    case State::ChunkSize:
      if (isReturn) {
        return State::ChunkSizeEnd;
      }
      return aCharacter == ';' ? State::ChunkExtension
                               : AddChunkDigit(aCharacter);
    case State::ChunkExtension:
      return isReturn ? State::ChunkSizeEnd : State::Invalid;
    case State::ChunkSizeEnd:
      if (!isLineFeed) {
        return State::Invalid;
      }
      mInTrailer = mChunkBytes == 0;
      return mInTrailer ? State::FieldStart : State::ChunkData;
    case State::ChunkData:
      return isReturn ? State::ChunkDataEnd : State::Invalid;
    case State::ChunkDataEnd:
      return isLineFeed ? State::ChunkSizeStart : State::Invalid;
    default:
      return State::Invalid;
  }
}

MessageSyntax::State
MessageSyntax::AddChunkDigit(char aDigit)
{
  unsigned digit = 0;
  const std::from_chars_result read =
    std::from_chars(&aDigit, &aDigit + 1, digit, kHexadecimal);
  if (read.ec != std::errc()) {
    return State::Invalid;
  }
  mChunkBytes = mChunkBytes * kHexadecimal + digit;
  return mChunkBytes <= kMaximumChunkBytes ? State::ChunkSize : State::Invalid;
}

} // namespace verbenachute
