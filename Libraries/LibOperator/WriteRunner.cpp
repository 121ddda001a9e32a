#include <LibOperator/WriteRunner.h>

#include <algorithm>

namespace verbenachute {

namespace {

using StoredResult = Result<std::optional<StoredValue>>;

Execution
ExecutionOf(const Error& aError)
{
  return aError.mCode == ErrorCode::Unreachable ? Execution::NotRun
                                                : Execution::OutcomeUnknown;
}

} // namespace

void
WriteRunner::Run(EventLoop& aLoop,
                 KeyValueStore& aStore,
                 ConfigurationWriter aWriter,
                 Done aDone)
{
  const std::shared_ptr<WriteRunner> runner(
    new WriteRunner(aLoop, aStore, std::move(aWriter), std::move(aDone)));
  runner->mSelf = runner;
  runner->CarryOut(runner->mWriter.Start(aLoop.Now()));
}

WriteRunner::WriteRunner(EventLoop& aLoop,
                         KeyValueStore& aStore,
                         ConfigurationWriter aWriter,
                         Done aDone)
  : mLoop(aLoop)
  , mStore(aStore)
  , mWriter(std::move(aWriter))
  , mDone(std::move(aDone))
  , mTimer(aLoop, [this] { CarryOut(mWriter.OnTick(mLoop.Now())); })
{
}

void
WriteRunner::CarryOut(const ConfigurationWriter::Actions& aActions)
{
  const std::shared_ptr<WriteRunner> self = shared_from_this();
  for (const WriterAction& action : aActions) {
    std::visit([this](const auto& aAction) { Perform(aAction); }, action);
  }
  ArmTimer();
}

void
WriteRunner::Perform(const ReadHead& aAction)
{
  mStore.Read(std::string(kHeadKey),
              [self = shared_from_this(),
               call = aAction.mCall](const StoredResult& aRead) {
                if (IsError(aRead)) {
                  self->Fail(call, ErrorOf(aRead));
                  return;
                }
                const Instant now = self->mLoop.Now();
                const std::optional<StoredValue>& value = ValueOf(aRead);
                if (value) {
                  self->mWriter.OnEra(value->mEra);
                }
                self->CarryOut(
                  value ? self->mWriter.OnHead(
                            call, value->mValue, value->mRevision.value(), now)
                        : self->mWriter.OnNoHead(call, now));
              });
}

void
WriteRunner::Perform(const ReadPart& aAction)
{
  mStore.Read(aAction.mPart.Key(),
              [self = shared_from_this(),
               call = aAction.mCall](const StoredResult& aRead) {
                const Instant now = self->mLoop.Now();
                if (IsError(aRead) || !ValueOf(aRead)) {
                  self->CarryOut(
                    self->mWriter.OnFailure(call, Execution::NotRun, now));
                  return;
                }
                self->CarryOut(self->mWriter.OnPart(
                  call,
                  std::make_shared<const std::string>(ValueOf(aRead)->mValue),
                  now));
              });
}

void
WriteRunner::Perform(const WritePart& aAction)
{
  mStore.CompareAndSwap(
    aAction.mPart.Key(),
    *aAction.mText,
    KeyRevision(0),
    [self = shared_from_this(),
     call = aAction.mCall](const Result<SwapOutcome>& aSwap) {
      if (IsError(aSwap)) {
        self->Fail(call, ErrorOf(aSwap));
        return;
      }
      // No other writer uses the key, so a conflict is with an earlier write
      // of the same part.
      self->CarryOut(self->mWriter.OnPartWritten(call, self->mLoop.Now()));
    });
}

void
WriteRunner::Perform(const DeletePart& aAction)
{
  const std::string key = aAction.mPart.Key();
  mStore.Read(
    key,
    [self = shared_from_this(), call = aAction.mCall, key](
      const StoredResult& aRead) {
      if (IsError(aRead)) {
        self->Fail(call, ErrorOf(aRead));
        return;
      }
      if (!ValueOf(aRead)) {
        self->CarryOut(self->mWriter.OnPartDeleted(call, self->mLoop.Now()));
        return;
      }
      self->mStore.Remove(
        key,
        ValueOf(aRead)->mRevision,
        [self, call](const Result<SwapOutcome>& aRemoved) {
          if (IsError(aRemoved)) {
            self->Fail(call, ErrorOf(aRemoved));
            return;
          }
          self->CarryOut(self->mWriter.OnPartDeleted(call, self->mLoop.Now()));
        });
    });
}

void
WriteRunner::Perform(const SwapHead& aAction)
{
  mStore.CompareAndSwap(
    std::string(kHeadKey),
    aAction.mText,
    KeyRevision(aAction.mExpected),
    [self = shared_from_this(),
     call = aAction.mCall](const Result<SwapOutcome>& aSwap) {
      if (IsError(aSwap)) {
        self->Fail(call, ErrorOf(aSwap));
        return;
      }
      const Instant now = self->mLoop.Now();
      self->CarryOut(ValueOf(aSwap).mResult == SwapResult::Swapped
                       ? self->mWriter.OnSwapped(call, now)
                       : self->mWriter.OnSwapConflict(call, now));
    });
}

void
WriteRunner::Perform(const WriteFinished& aAction)
{
  // The end may come within a callback of the timer, which must not go away
  // under its own feet; replies that are still to come hold the object too.
  mLoop.Defer([self = std::move(mSelf)] {});
  mDone(aAction.mOutcome);
}

void
WriteRunner::Fail(CallId aCall, const Error& aError)
{
  CarryOut(mWriter.OnFailure(aCall, ExecutionOf(aError), mLoop.Now()));
}

void
WriteRunner::ArmTimer()
{
  if (mWriter.IsFinished()) {
    mTimer.Stop();
    return;
  }
  mTimer.Start(std::max(Duration(0), mWriter.NextWake() - mLoop.Now()));
}

} // namespace verbenachute
