#pragma once

#include <LibHttp/HttpFields.h>

#include <cstddef>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace verbenachute {

/// What a reader expects on its connection.
enum class MessageSide
{
  Requests,
  Responses,
};

/// Bounds of one message; a larger one is an error of the reader.
struct MessageLimits
{
  std::size_t mHeaderBytes = 16UL * 1024;
  std::size_t mBodyBytes = 8UL * 1024 * 1024;
};

/// Parses one HTTP/1.1 message after the other from the bytes of a
/// connection. It does no I/O.
class MessageReader
{
public:
  enum class State
  {
    /// No byte of the next message has been read.
    Between,
    /// Part of a message has been read.
    Within,
    /// A message is complete; call Next before feeding more.
    Complete,
    HeadersTooLarge,
    BodyTooLarge,
    Malformed,
  };

  MessageReader(MessageSide aSide, const MessageLimits& aLimits);
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  void SetLimits(const MessageLimits& aLimits) { mLimits = aLimits; }

  /// Reads bytes up to the end of a message; gives how many were used.
  std::size_t Feed(std::string_view aBytes);
  /// The peer closed its side; ends a response that has no length.
  void EndOfStream();
  /// Forgets the complete message and begins the next.
  void Next();
  /// The response that comes next answers a HEAD request.
  void ExpectNoBody() { mNoBody = true; }

  [[nodiscard]] State Current() const { return mState; }
  [[nodiscard]] bool HeadComplete() const { return mHeadComplete; }
  [[nodiscard]] std::string_view Method() const;
  [[nodiscard]] const std::string& Target() const { return mTarget; }
  [[nodiscard]] int Status() const { return mStatus; }
  [[nodiscard]] HttpFields& Fields() { return mFields; }
  [[nodiscard]] std::string& Body() { return mBody; }
  /// Whether the connection may carry another message after this one.
  [[nodiscard]] bool KeepsAlive() const { return mKeepsAlive; }

private:
  static int OnMessageBegin(http_parser* aParser);
  static int OnTarget(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnName(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnValue(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnHeadComplete(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnComplete(http_parser* aParser);
  [[nodiscard]] int CountHeader(std::size_t aSize);

  MessageSide mSide;
  MessageLimits mLimits;
  http_parser mParser{};
  State mState = State::Between;
  bool mHeadComplete = false;
  bool mNoBody = false;
  bool mKeepsAlive = true;
  bool mInValue = false;
  int mStatus = 0;
  std::size_t mHeaderBytes = 0;
  std::string mTarget;
  HttpFields mFields;
  std::string mBody;
};

} // namespace verbenachute
