#include <LibHttp/MessageReader.h>

#include <LibCore/Verify.h>

namespace verbenachute {

namespace {

MessageReader*
Self(http_parser* aParser)
{
  return static_cast<MessageReader*>(aParser->data);
}

http_parser_type
TypeOf(MessageSide aSide)
{
  return aSide == MessageSide::Requests ? HTTP_REQUEST : HTTP_RESPONSE;
}

} // namespace

MessageReader::MessageReader(MessageSide aSide, const MessageLimits& aLimits)
  : mSide(aSide)
  , mLimits(aLimits)
{
  http_parser_init(&mParser, TypeOf(aSide));
  mParser.data = this;
}

std::size_t
MessageReader::Feed(std::string_view aBytes)
{
  VERIFY(mState == State::Between || mState == State::Within);
  http_parser_settings settings{};
  settings.on_message_begin = &MessageReader::OnMessageBegin;
  settings.on_url = &MessageReader::OnTarget;
  settings.on_header_field = &MessageReader::OnName;
  settings.on_header_value = &MessageReader::OnValue;
  settings.on_headers_complete = &MessageReader::OnHeadComplete;
  settings.on_body = &MessageReader::OnBody;
  settings.on_message_complete = &MessageReader::OnComplete;
  const std::size_t used =
    http_parser_execute(&mParser, &settings, aBytes.data(), aBytes.size());
  const http_errno problem = HTTP_PARSER_ERRNO(&mParser);
  if (mParser.upgrade != 0 && mState == State::Complete) {
    // No protocol but HTTP/1.1 is spoken here, so what follows an upgrade
    // can not be read.
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
  }
  return used;
}

void
MessageReader::EndOfStream()
{
  if (mState != State::Within || !mHeadComplete) {
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
    http_parser_init(&mParser, TypeOf(mSide));
    mParser.data = this;
  }
  mState = State::Between;
  mHeadComplete = false;
  mNoBody = false;
  mInValue = false;
  mHeaderBytes = 0;
  mTarget.clear();
  mFields = HttpFields();
  mBody.clear();
}

std::string_view
MessageReader::Method() const
{
  return http_method_str(static_cast<http_method>(mParser.method));
}

int
MessageReader::OnMessageBegin(http_parser* aParser)
{
  Self(aParser)->mState = State::Within;
  return 0;
}

int
MessageReader::CountHeader(std::size_t aSize)
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
  return Self(aParser)->CountHeader(aSize);
}

int
MessageReader::OnName(http_parser* aParser, const char* aAt, std::size_t aSize)
{
  MessageReader* self = Self(aParser);
  std::vector<HttpField>& fields = self->mFields.All();
  if (self->mInValue || fields.empty()) {
    fields.emplace_back();
    self->mInValue = false;
  }
  fields.back().mName.append(aAt, aSize);
  return self->CountHeader(aSize);
}

int
MessageReader::OnValue(http_parser* aParser, const char* aAt, std::size_t aSize)
{
  MessageReader* self = Self(aParser);
  self->mInValue = true;
  self->mFields.All().back().mValue.append(aAt, aSize);
  return self->CountHeader(aSize);
}

int
MessageReader::OnHeadComplete(http_parser* aParser)
{
  MessageReader* self = Self(aParser);
  self->mHeadComplete = true;
  self->mStatus = aParser->status_code;
  return self->mNoBody ? 1 : 0;
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
  // Stops here, so that the bytes of the next message stay unread.
  http_parser_pause(aParser, 1);
  return 0;
}

} // namespace verbenachute
