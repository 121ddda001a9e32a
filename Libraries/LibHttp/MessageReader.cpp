#include <LibHttp/MessageReader.h>

#include <LibCore/Verify.h>
#include <LibHttp/HttpText.h>

#include <algorithm>
#include <climits>

namespace verbenachute {

namespace {

// Memory of a body that an idle connection keeps for the next message, in
// bytes.
constexpr std::size_t kKeptCapacity = 16UL * 1024;
// Results of OnHeadComplete, as the parser defines them.
constexpr int kSkipBody = 1;
constexpr int kAbort = -1;
constexpr std::size_t kStatusOffset = std::string_view("HTTP/1.1 ").size();
constexpr std::size_t kStatusDigits = 3;
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

MessageReader*
Self(http_parser* aParser)
{
  return static_cast<MessageReader*>(aParser->data);
}

http_parser_type
ParserTypeOf(MessageKind aKind)
{
  return aKind == MessageKind::Requests ? HTTP_REQUEST : HTTP_RESPONSE;
}

} // namespace

MessageReader::MessageReader(MessageKind aKind, const MessageLimits& aLimits)
  : mKind(aKind)
  , mLimits(aLimits)
{
  http_parser_init(&mParser, ParserTypeOf(aKind));
  mParser.data = this;
}

std::size_t
MessageReader::Feed(std::string_view aBytes)
{
  VERIFY(mState == State::BetweenMessages || mState == State::InMessage);
  if (mKind == MessageKind::Responses && !mHeadComplete) {
    RecordStatusLine(aBytes);
  }
  http_parser_settings settings{};
  settings.on_message_begin = &MessageReader::OnMessageBegin;
  settings.on_url = &MessageReader::OnTarget;
  settings.on_header_field = &MessageReader::OnFieldName;
  settings.on_header_value = &MessageReader::OnFieldValue;
  settings.on_headers_complete = &MessageReader::OnHeadComplete;
  settings.on_body = &MessageReader::OnBody;
  settings.on_message_complete = &MessageReader::OnComplete;
  const std::size_t used =
    http_parser_execute(&mParser, &settings, aBytes.data(), aBytes.size());
  const http_errno problem = HTTP_PARSER_ERRNO(&mParser);
  const BodyFraming framing = (mParser.flags & F_CHUNKED) != 0
                                ? BodyFraming::Chunked
                                : BodyFraming::Plain;
  const bool isValid = mSyntax.Check(aBytes.substr(0, used), framing);
  if (mParser.upgrade != 0 && mState == State::Complete) {
    // Only HTTP/1.1 is supported, so the bytes after an upgrade can not be
    // parsed.
    mKeepsAlive = false;
  }
  if (problem != HPE_OK && problem != HPE_PAUSED) {
    const bool limit =
      mState == State::HeadersTooLarge || mState == State::BodyTooLarge;
    if (problem == HPE_HEADER_OVERFLOW) {
      mState = State::HeadersTooLarge;
    } else if (!limit) {
      mState = State::Malformed;
    }
  } else if (!isValid) {
    mState = State::Malformed;
  }
  return used;
}

void
MessageReader::RecordStatusLine(std::string_view aBytes)
{
  if (mStatusLine.empty()) {
    // The parser skips empty lines before a response.
    aBytes.remove_prefix(
      std::min(aBytes.find_first_not_of("\r\n"), aBytes.size()));
  }
  constexpr std::size_t kRecordedBytes = kStatusOffset + kStatusDigits + 1;
  mStatusLine += aBytes.substr(0, kRecordedBytes - mStatusLine.size());
}

bool
MessageReader::HasValidStatus() const
{
  // The parser accepts fewer digits, leading zeros and additional spaces.
  const std::string_view line = mStatusLine;
  const auto isDigit = [](char aCharacter) {
    return aCharacter >= '0' && aCharacter <= '9';
  };
  const std::string_view digits =
    line.substr(std::min(kStatusOffset, line.size()), kStatusDigits);
  return mStatus >= kFirstStatus && mStatus <= kLastStatus &&
         digits.size() == kStatusDigits &&
         std::all_of(digits.begin(), digits.end(), isDigit) &&
         !isDigit(line.back());
}

bool
MessageReader::HasValidFraming() const
{
  const std::vector<HttpField>& fields = mFields.All();
  const bool hasOtherCoding =
    std::any_of(fields.begin(), fields.end(), [](const HttpField& aField) {
      return FieldNamesEqual(aField.mName, "Transfer-Encoding") &&
             !FieldNamesEqual(aField.mValue, "chunked");
    });
  if (hasOtherCoding) {
    return false;
  }
  const bool isChunked = (mParser.flags & F_CHUNKED) != 0;
  const bool hasLength = mParser.content_length != ULLONG_MAX;
  if (mFields.Find("Content-Length") != nullptr && !hasLength) {
    return false;
  }
  // A connection that stays open can not tell where a body ends.
  const bool endsWithConnection =
    (mParser.flags & F_CONNECTION_CLOSE) != 0 || mParser.http_minor == 0;
  return mKind == MessageKind::Requests || isChunked || hasLength ||
         endsWithConnection;
}

void
MessageReader::EndOfStream()
{
  if (mState != State::InMessage || !mHeadComplete) {
    return;
  }
  static_cast<void>(Feed({}));
}

void
MessageReader::Next()
{
  VERIFY(mState == State::Complete);
  const bool upgraded = mParser.upgrade != 0;
  http_parser_pause(&mParser, 0);
  if (upgraded) {
    http_parser_init(&mParser, ParserTypeOf(mKind));
    mParser.data = this;
  }
  mState = State::BetweenMessages;
  mHeadComplete = false;
  mNoBody = false;
  mReadingValue = false;
  mHeaderBytes = 0;
  mStatusLine.clear();
  mSyntax = MessageSyntax();
  mTarget.clear();
  mFields = HttpFields();
  if (mBody.capacity() > kKeptCapacity) {
    DropBody();
  }
  mBody.clear();
}

void
MessageReader::DropMessage()
{
  DropBody();
  mFields = HttpFields();
  mTarget = std::string();
  mHeaderBytes = 0;
}

std::string_view
MessageReader::Method() const
{
  return http_method_str(static_cast<http_method>(mParser.method));
}

int
MessageReader::OnMessageBegin(http_parser* aParser)
{
  Self(aParser)->mState = State::InMessage;
  return 0;
}

int
MessageReader::CountHeaderBytes(std::size_t aSize)
{
  mHeaderBytes += aSize;
  if (mHeaderBytes > mLimits.mHeaderBytes) {
    mState = State::HeadersTooLarge;
    return 1;
  }
  return 0;
}

int
MessageReader::OnTarget(http_parser* aParser,
                        const char* aAt,
                        std::size_t aSize)
{
  Self(aParser)->mTarget.append(aAt, aSize);
  return Self(aParser)->CountHeaderBytes(aSize);
}

int
MessageReader::OnFieldName(http_parser* aParser,
                           const char* aAt,
                           std::size_t aSize)
{
  MessageReader* self = Self(aParser);
  if (self->mHeadComplete) {
    return self->CountHeaderBytes(aSize);
  }
  std::vector<HttpField>& fields = self->mFields.All();
  if (self->mReadingValue || fields.empty()) {
    fields.emplace_back();
    self->mReadingValue = false;
  }
  fields.back().mName.append(aAt, aSize);
  return self->CountHeaderBytes(aSize);
}

int
MessageReader::OnFieldValue(http_parser* aParser,
                            const char* aAt,
                            std::size_t aSize)
{
  MessageReader* self = Self(aParser);
  if (self->mHeadComplete) {
    return self->CountHeaderBytes(aSize);
  }
  self->mReadingValue = true;
  self->mFields.All().back().mValue.append(aAt, aSize);
  return self->CountHeaderBytes(aSize);
}

int
MessageReader::OnHeadComplete(http_parser* aParser)
{
  MessageReader* self = Self(aParser);
  self->mHeadComplete = true;
  self->mStatus = aParser->status_code;
  const bool isResponse = self->mKind == MessageKind::Responses;
  if (isResponse && !self->HasValidStatus()) {
    return kAbort;
  }
  if (self->mNoBody || (isResponse && HasNoBody(self->mStatus))) {
    return kSkipBody;
  }
  if (!self->HasValidFraming()) {
    return kAbort;
  }
  const bool hasLength = aParser->content_length != ULLONG_MAX;
  if (hasLength && aParser->content_length > self->mLimits.mBodyBytes) {
    self->mState = State::BodyTooLarge;
    return kAbort;
  }
  return 0;
}

int
MessageReader::OnBody(http_parser* aParser, const char* aAt, std::size_t aSize)
{
  MessageReader* self = Self(aParser);
  if (self->mBody.size() + aSize > self->mLimits.mBodyBytes) {
    self->mState = State::BodyTooLarge;
    return 1;
  }
  self->mBody.append(aAt, aSize);
  return 0;
}

int
MessageReader::OnComplete(http_parser* aParser)
{
  MessageReader* self = Self(aParser);
  self->mState = State::Complete;
  self->mKeepsAlive = http_should_keep_alive(aParser) != 0;
  // Pauses the parser, so that it doesn't consume bytes of the next message.
  http_parser_pause(aParser, 1);
  return 0;
}

} // namespace verbenachute
