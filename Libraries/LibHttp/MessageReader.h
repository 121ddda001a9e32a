#pragma once

#include <LibHttp/HttpFields.h>
#include <LibHttp/MessageSyntax.h>

#include <cstddef>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace verbenachute {

/// The kind of messages that a reader parses.
enum class MessageKind
{
  Requests,
  Responses,
};

/// Largest size of one message. A larger one puts the reader into state
/// HeadersTooLarge or BodyTooLarge; a body that states its length does so
/// before any of it is read.
struct MessageLimits
{
  std::size_t mHeaderBytes = 16UL * 1024;
  std::size_t mBodyBytes = 8UL * 1024 * 1024;
};

/// Parses successive HTTP/1.1 messages from the bytes of a connection. It does
/// no I/O. A message whose lines are not those of the protocol, or whose head
/// does not tell where the body ends, is Malformed. Fields after a chunked body
/// are dropped.
class MessageReader
{
public:
  enum class State
  {
    /// No byte of the next message was read.
    BetweenMessages,
    /// Part of a message was read.
    InMessage,
    /// A message is complete; call Next before feeding more.
    Complete,
    HeadersTooLarge,
    BodyTooLarge,
    Malformed,
  };

  MessageReader(MessageKind aKind, const MessageLimits& aLimits);
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  void SetLimits(const MessageLimits& aLimits) { mLimits = aLimits; }

  /// Parses bytes up to the end of a message and returns how many were
  /// consumed.
  std::size_t Feed(std::string_view aBytes);
  /// Reports that the peer has closed its side, which completes a response
  /// without a length that has announced the close.
  void EndOfStream();
  /// Discards the complete message and starts the next.
  void Next();
  /// Expects the next response without a body, as it answers a HEAD request.
  void ExpectNoBody() { mNoBody = true; }

  [[nodiscard]] State Current() const { return mState; }
  [[nodiscard]] bool HeadComplete() const { return mHeadComplete; }
  [[nodiscard]] std::string_view Method() const;
  [[nodiscard]] const std::string& Target() const { return mTarget; }
  [[nodiscard]] int Status() const { return mStatus; }
  [[nodiscard]] HttpFields& Fields() { return mFields; }
  [[nodiscard]] std::string& Body() { return mBody; }
  /// Memory that the body takes, in bytes.
  [[nodiscard]] std::size_t BodyMemory() const { return mBody.capacity(); }
  /// Memory that the message takes, in bytes. A head of many short fields takes
  /// several times its size.
  [[nodiscard]] std::size_t MessageMemory() const
  {
    // The texts of the head have spare capacity of up to their size.
    return mBody.capacity() + 2 * mHeaderBytes +
           mFields.All().capacity() * sizeof(HttpField);
  }
  /// Frees the memory of the message, which must not be read any more.
  void DropBody() { mBody = std::string(); }
  /// The same for the message with its head. Nothing may be fed any more.
  void DropMessage();
  /// Whether the connection may carry another message after the last complete
  /// one.
  [[nodiscard]] bool KeepsAlive() const { return mKeepsAlive; }

private:
  static int OnMessageBegin(http_parser* aParser);
  static int OnTarget(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnFieldName(http_parser* aParser,
                         const char* aAt,
                         std::size_t aSize);
  static int OnFieldValue(http_parser* aParser,
                          const char* aAt,
                          std::size_t aSize);
  static int OnHeadComplete(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnComplete(http_parser* aParser);
  [[nodiscard]] int CountHeaderBytes(std::size_t aSize);
  /// Keeps the first bytes of a response, up to the status.
  void RecordStatusLine(std::string_view aBytes);
  [[nodiscard]] bool HasValidStatus() const;
  /// Whether the head tells where the body ends.
  [[nodiscard]] bool HasValidFraming() const;

  MessageKind mKind;
  MessageLimits mLimits;
  http_parser mParser{};
  MessageSyntax mSyntax;
  State mState = State::BetweenMessages;
  bool mHeadComplete = false;
  bool mNoBody = false;
  bool mKeepsAlive = true;
  bool mReadingValue = false;
  int mStatus = 0;
  /// The response up to the character after the status.
  std::string mStatusLine;
  std::size_t mHeaderBytes = 0;
  std::string mTarget;
  HttpFields mFields;
  std::string mBody;
};

} // namespace verbenachute
