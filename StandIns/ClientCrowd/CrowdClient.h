#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace verbenachute::standins {

/// What the clients of a crowd do.
enum class CrowdKind
{
  /// A body of legal size that stops one byte short.
  Bodies,
  /// The same in chunks.
  Chunked,
  /// A head that stops before its end.
  Heads,
  /// Requests without a pause, whose responses are not read.
  Pipelined,
  /// Requests for long responses, which are read slowly.
  SlowReaders,
  /// Connections without a byte.
  HalfOpen,
  /// Complete queries with bodies of legal size, whose responses are not read.
  Queries,
  /// Short queries over all shards without a pause, whose responses are read
  /// slowly.
  ShortQueries,
  /// A head of many short fields that stops before its end.
  Fields,
  /// A frame between nodes that stops one byte short.
  Frames,
};

/// What a client sends, in the order of the stages, and how fast it reads.
struct CrowdScript
{
  std::string mBytes;
  /// How often the bytes are sent.
  std::size_t mTimes = 1;
  /// Bytes that are read in one round.
  std::size_t mReadBytes = 0;
};

[[nodiscard]] CrowdScript
ScriptOf(CrowdKind aKind);

/// One client with one connection; it does not block.
class CrowdClient
{
public:
  /// aScript must outlive the client.
  CrowdClient(const CrowdScript& aScript, std::uint16_t aPort);
  ~CrowdClient();
  CrowdClient(const CrowdClient&) = delete;
  CrowdClient& operator=(const CrowdClient&) = delete;

  /// Sends as much as the connection takes and reads what the script says.
  /// Returns the number of bytes moved.
  std::size_t Advance();
  [[nodiscard]] bool IsOpen() const { return mSocket >= 0; }

private:
  std::size_t Send();
  std::size_t Read();
  void Close();

  const CrowdScript& mScript;
  int mSocket = -1;
  std::size_t mSent = 0;
};

} // namespace verbenachute::standins
