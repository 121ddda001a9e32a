#pragma once

#include <LibCore/MemoryBudget.h>
#include <LibHttp/HttpFields.h>
#include <LibHttp/HttpText.h>

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <sigc++/sigc++.h>
#include <string>
#include <utility>

namespace verbenachute {

class HttpServerConnection;

/// Whether a request is the first of its connection.
enum class ConnectionUse
{
  First,
  Reused,
};

/// A complete request that a server has received and not yet responded to. It
/// may outlive its connection; a response after the caller has disconnected is
/// dropped.
class HttpCall
{
public:
  std::string mMethod;
  /// Path and query as received, still percent-encoded.
  std::string mTarget;
  HttpFields mFields;
  std::string mBody;
  /// Time at which the last byte was read, or an earlier one if the bytes may
  /// have waited in the socket while the loop was busy.
  Instant mArrivalTime;
  ConnectionUse mConnectionUse = ConnectionUse::First;

  /// Sends the response. It must not be called twice.
  void Respond(int aStatus,
               const HttpFields& aFields,
               std::string aBody,
               AfterResponse aAfter = AfterResponse::KeepOpen);
  /// The charge for the memory of the request, for whoever takes its parts. It
  /// is released with the call otherwise.
  [[nodiscard]] MemoryBudget::Charge TakeCharge() { return std::move(mCharge); }
  /// Emitted if the caller closes the connection before the response.
  [[nodiscard]] sigc::signal<void()>& CallerDisconnected()
  {
    return mCallerDisconnected;
  }

private:
  friend class HttpServerConnection;

  /// Null once the response was sent or the connection was closed.
  HttpServerConnection* mConnection = nullptr;
  bool mResponded = false;
  MemoryBudget::Charge mCharge;
  sigc::signal<void()> mCallerDisconnected;
};

} // namespace verbenachute
