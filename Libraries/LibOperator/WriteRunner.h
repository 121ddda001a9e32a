#pragma once

#include <LibConfiguration/ConfigurationWriter.h>
#include <LibPlatform/KeyValueStore.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <memory>

namespace verbenachute {

/// Carries out the decisions of one configuration writer against the
/// platform's store. It keeps itself alive until the write has ended.
class WriteRunner : public std::enable_shared_from_this<WriteRunner>
{
public:
  using Done = std::function<void(const Result<WriteOutcome>&)>;

  /// Begins the write and calls aDone once. The loop and the store must
  /// outlive the write.
  static void Run(EventLoop& aLoop,
                  KeyValueStore& aStore,
                  ConfigurationWriter aWriter,
                  Done aDone);

private:
  WriteRunner(EventLoop& aLoop,
              KeyValueStore& aStore,
              ConfigurationWriter aWriter,
              Done aDone);

  void CarryOut(const ConfigurationWriter::Actions& aActions);
  void Perform(const ReadHead& aAction);
  void Perform(const ReadPart& aAction);
  void Perform(const WritePart& aAction);
  void Perform(const DeletePart& aAction);
  void Perform(const SwapHead& aAction);
  void Perform(const WriteFinished& aAction);
  void Fail(CallId aCall, const Error& aError);
  void ArmTimer();

  EventLoop& mLoop;
  KeyValueStore& mStore;
  ConfigurationWriter mWriter;
  Done mDone;
  Timer mTimer;
  /// Held until the end, as replies and the timer refer to this object.
  std::shared_ptr<WriteRunner> mSelf;
};

} // namespace verbenachute
