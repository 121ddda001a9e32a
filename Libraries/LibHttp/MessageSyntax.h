#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace verbenachute {

/// Framing of a message's body as its head tells it.
enum class BodyFraming
{
  /// A length, none, or the end of the connection.
  Plain,
  Chunked,
};

/// Checks the lines on which the framing of a message depends: field lines,
/// which the parser of MessageReader also accepts with blanks in the name,
/// folded or without a colon, and the lines around chunks. A line that the
/// parser misreads could have told the length of the body.
class MessageSyntax
{
public:
  /// Checks further bytes of a message. aFraming counts once the head is
  /// complete. Returns whether all lines so far are valid.
  [[nodiscard]] bool Check(std::string_view aBytes, BodyFraming aFraming);

private:
  enum class State
  {
    BeforeStartLine,
    StartLine,
    StartLineEnd,
    FieldStart,
    FieldName,
    FieldValue,
    FieldEnd,
    HeadEnd,
    PlainBody,
    ChunkSizeStart,
    ChunkSize,
    ChunkExtension,
    ChunkSizeEnd,
    ChunkData,
    ChunkDataEnd,
    Invalid,
  };

  /// Number of bytes, from the first on, that do not change the state.
  [[nodiscard]] std::size_t SizeToSkip(std::string_view aBytes) const;
  [[nodiscard]] State Next(char aCharacter, BodyFraming aFraming);
  [[nodiscard]] State NextInHead(char aCharacter) const;
  [[nodiscard]] State NextInChunk(char aCharacter);
  [[nodiscard]] State AddChunkDigit(char aDigit);

  State mState = State::BeforeStartLine;
  /// The fields after the last chunk are read.
  bool mInTrailer = false;
  /// Bytes of the chunk that are left.
  std::uint64_t mChunkBytes = 0;
};

} // namespace verbenachute
