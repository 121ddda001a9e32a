#pragma once

#include <Common/EventLoop.h>

#include <LibCore/Identifiers.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace verbenachute::load {

/// A reply, or status 0 if none came.
struct HttpReply
{
  int mStatus = 0;
  std::string mBody;
};

/// One exchange: a POST if it has a body, otherwise a GET.
struct HttpExchange
{
  SocketAddress mAddress;
  std::string mPath;
  std::string mBody;
  Duration mTimeout{ 0 };
};

/// Keeps connections alive by evhttp, one exchange at a time on each. Nothing
/// is sent twice.
class HttpClient
{
public:
  using Callback = std::function<void(const HttpReply&)>;

  explicit HttpClient(standins::EventLoop& aLoop)
    : mLoop(aLoop)
  {
  }
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// At most so many connections to the address; exchanges above wait.
  void SetConnectionCap(const SocketAddress& aAddress, std::size_t aCap);
  void Send(HttpExchange aExchange, Callback aCallback);

private:
  struct Waiting
  {
    HttpExchange mExchange;
    Callback mCallback;
  };

  struct Pool
  {
    std::vector<evhttp_connection*> mIdle;
    std::size_t mOpen = 0;
    std::size_t mCap = SIZE_MAX;
    std::deque<Waiting> mWaiting;
  };

  struct Open
  {
    HttpClient* mClient = nullptr;
    SocketAddress mAddress;
    evhttp_connection* mConnection = nullptr;
    Callback mCallback;
  };

  static void Replied(evhttp_request* aRequest, void* aOpen);

  [[nodiscard]] evhttp_connection* Take(Pool& aPool,
                                        const SocketAddress& aAddress);
  void Start(evhttp_connection* aConnection, Waiting aWaiting);
  void PutBack(const Open& aOpen, int aStatus);

  standins::EventLoop& mLoop;
  std::map<SocketAddress, Pool> mPools;
};

} // namespace verbenachute::load
