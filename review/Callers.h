#pragma once

#include <LibCore/Identifiers.h>
#include <LibTransport/EventLoop.h>

#include <functional>
#include <string>

struct bufferevent;

namespace verbenachute::review {

/// A consumer with one kept connection, which looks at each byte that it gets.
/// It sends the next request only after the answer to the last one.
class Callers
{
public:
  struct Answer
  {
    int mStatus = 0;
    std::string mHead;
    std::string mBody;
  };
  /// Bytes that came while no request was waiting for its answer, or that
  /// begin no response where one is due.
  using Unasked = std::function<void(const std::string& aBytes)>;
  using Answered = std::function<void(const Answer&)>;

  Callers(EventLoop& aLoop, const SocketAddress& aAddress, Unasked aUnasked);
  ~Callers();
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// False while a request waits, or after the connection has ended.
  [[nodiscard]] bool IsReady() const { return !mAnswered && !mEnded; }
  [[nodiscard]] bool HasEnded() const { return mEnded; }
  void Send(const std::string& aRequest, Answered aAnswered);

private:
  void Read();

  bufferevent* mStream;
  Unasked mUnasked;
  Answered mAnswered;
  std::string mInput;
  bool mEnded = false;
};

} // namespace verbenachute::review
