#pragma once

#include <LibHttp/HttpFields.h>
#include <LibHttp/HttpText.h>

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <sigc++/sigc++.h>
#include <string>

namespace verbenachute {

class HttpServerConnection;

/// Whether a request is the first of its connection.
enum class ConnectionUse
{
  First,
  Kept,
};

/// A request that was read whole at a server and waits for its response. It
/// may outlive its connection; a response after the caller left is dropped.
class HttpCall
{
public:
  std::string mMethod;
  /// Path and query as they stood on the wire.
  std::string mTarget;
  HttpFields mFields;
  std::string mBody;
  /// When the last byte was read, or earlier if it may have lain unread while
  /// the loop was busy.
  Instant mArrived;
  ConnectionUse mUse = ConnectionUse::First;

  /// Responds once; later calls break an invariant.
  void Respond(int aStatus,
               const HttpFields& aFields,
               std::string_view aBody,
               AfterResponse aAfter = AfterResponse::KeepOpen);
  /// Emitted when the caller closes the connection before the response.
  [[nodiscard]] sigc::signal<void()>& CallerGone() { return mCallerGone; }

private:
  friend class HttpServerConnection;

  /// Null once the response is out or the connection has gone.
  HttpServerConnection* mConnection = nullptr;
  bool mResponded = false;
  sigc::signal<void()> mCallerGone;
};

} // namespace verbenachute
