#include <LibConfiguration/ConfigurationWriter.h>

#include <LibConfiguration/ConfigurationCodec.h>
#include <LibConfiguration/ContentDigest.h>
#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr Duration kCallTimeout = seconds(2);
/// Number of parts that are read or written at the same time.
constexpr std::size_t kCallsAtOnce = 8;
constexpr Duration kFirstBackoff = milliseconds(50);
constexpr Duration kLongestBackoff = seconds(1);

Error
Fault(ErrorCode aCode, std::string aMessage)
{
  return Error{ Step::Store, aCode, "platform", std::move(aMessage) };
}

} // namespace

ConfigurationWriter::ConfigurationWriter(const NodeIdentity& aSelf,
                                         std::uint64_t aSequence,
                                         WriteTask aTask,
                                         WriterBase aBase)
  : mTask(std::move(aTask))
  , mTag(PartTag(NodeIdentityText(aSelf) + "/" + std::to_string(aSequence)))
  , mBackoff(NodeName(mTag), kFirstBackoff, kLongestBackoff)
  , mLastFault(Fault(ErrorCode::Unavailable, "the store did not answer"))
  , mBase(std::move(aBase))
  , mOldest(mBase.mHead.mRevision)
{
}

ConfigurationWriter::Actions
ConfigurationWriter::Start(Instant aNow)
{
  Actions actions;
  mDeadline = aNow + kDeadline;
  AskHead(aNow, &actions);
  return actions;
}

ConfigurationWriter::Actions
ConfigurationWriter::OnTick(Instant aNow)
{
  Actions actions;
  if (mState != State::Finished && mDeadline <= aNow) {
    FinishFailed(mLastFault, &actions);
  }
  if (mState == State::Finished) {
    return actions;
  }
  for (const Call& call : mCalls.TakeExpired(aNow)) {
    HandleFailure(call, Execution::OutcomeUnknown, aNow, &actions);
  }
  if (mState == State::Waiting && mDue <= aNow) {
    AskHead(aNow, &actions);
  }
  return actions;
}

Instant
ConfigurationWriter::NextWake() const
{
  const Instant wake =
    mState == State::Waiting ? std::min(mDeadline, mDue) : mDeadline;
  return mCalls.EarlierDeadline(wake);
}

ConfigurationWriter::Actions
ConfigurationWriter::OnHead(CallId aCall,
                            const std::string& aText,
                            std::uint64_t aKeyRevision,
                            Instant aNow)
{
  Actions actions;
  const std::optional<Call> call = mCalls.Take(aCall);
  if (!call || mState != State::ReadingHead) {
    return actions;
  }
  const Result<ConfigurationHead> head = ConfigurationHead::Create(aText);
  if (IsError(head)) {
    mLastFault = Fault(ErrorCode::Unavailable,
                       "the store's configuration can't be read: " +
                         ErrorOf(head).mMessage);
    Retry(aNow);
    return actions;
  }
  if (ValueOf(head).mRevision < mOldest) {
    mLastFault = Fault(ErrorCode::Unavailable,
                       "the store has an older revision than the one in force");
    Retry(aNow);
    return actions;
  }
  mReadHead = ValueOf(head);
  mKeyRevision = aKeyRevision;
  if (mMayLackParts && mReadHead == mEncoded.mHead) {
    RepairParts(aNow, &actions);
    return actions;
  }
  mState = State::ReadingParts;
  mToRead.clear();
  for (const PartName& part : mReadHead.mParts) {
    if (!mBase.mParts.contains(part)) {
      mToRead.push_back(part);
    }
  }
  ContinueReading(aNow, &actions);
  return actions;
}

ConfigurationWriter::Actions
ConfigurationWriter::OnNoHead(CallId aCall, Instant aNow)
{
  Actions actions;
  const std::optional<Call> call = mCalls.Take(aCall);
  if (!call || mState != State::ReadingHead) {
    return actions;
  }
  if (mOldest > Revision(0)) {
    mLastFault =
      Fault(ErrorCode::Unavailable, "the store has lost the configuration");
    Retry(aNow);
    return actions;
  }
  mReadHead = {};
  mKeyRevision = 0;
  mBase = {};
  MakeNext(aNow, &actions);
  return actions;
}

ConfigurationWriter::Actions
ConfigurationWriter::OnPart(CallId aCall,
                            std::shared_ptr<const std::string> aText,
                            Instant aNow)
{
  Actions actions;
  const std::optional<Call> call = mCalls.Take(aCall);
  if (!call || mState != State::ReadingParts) {
    return actions;
  }
  if (ContentDigest(*aText) != call->mPart.mDigest) {
    HandleFailure(*call, Execution::NotRun, aNow, &actions);
    return actions;
  }
  mBase.mParts[call->mPart] = std::move(aText);
  ContinueReading(aNow, &actions);
  return actions;
}

ConfigurationWriter::Actions
ConfigurationWriter::OnPartWritten(CallId aCall, Instant aNow)
{
  Actions actions;
  const std::optional<Call> call = mCalls.Take(aCall);
  if (call) {
    mStored.insert(call->mPart);
    ContinueParts(aNow, &actions);
  }
  return actions;
}

ConfigurationWriter::Actions
ConfigurationWriter::OnPartDeleted(CallId aCall, Instant aNow)
{
  Actions actions;
  const std::optional<Call> call = mCalls.Take(aCall);
  if (call) {
    std::erase_if(mEncoded.mHead.mRetired,
                  [&call](const RetiredPart& aRetired) {
                    return aRetired.mName == call->mPart;
                  });
    ContinueParts(aNow, &actions);
  }
  return actions;
}

ConfigurationWriter::Actions
ConfigurationWriter::OnSwapped(CallId aCall, Instant)
{
  Actions actions;
  const std::optional<Call> call = mCalls.Take(aCall);
  if (call && mState == State::SwappingHead) {
    Finish(WriteOutcome{ mNext, mEncoded, mSwapSent }, &actions);
    DeleteUnused(mEncoded.mHead, &actions);
  }
  return actions;
}

ConfigurationWriter::Actions
ConfigurationWriter::OnSwapConflict(CallId aCall, Instant aNow)
{
  Actions actions;
  const std::optional<Call> call = mCalls.Take(aCall);
  if (call && mState == State::SwappingHead) {
    // The conflict may be with this swap itself, if it was duplicated by the
    // network or repeated after a lost reply. The head shows which it was.
    mOpenSwap = mKeyRevision;
    ++mRacesLost;
    Retry(aNow);
  }
  return actions;
}

ConfigurationWriter::Actions
ConfigurationWriter::OnFailure(CallId aCall, Execution aExecution, Instant aNow)
{
  Actions actions;
  const std::optional<Call> call = mCalls.Take(aCall);
  if (call) {
    HandleFailure(*call, aExecution, aNow, &actions);
  }
  return actions;
}

CallId
ConfigurationWriter::Remember(CallKind aKind,
                              const PartName& aPart,
                              Instant aNow)
{
  return mCalls.Add({ aKind, aPart, aNow + kCallTimeout });
}

void
ConfigurationWriter::AskHead(Instant aNow, Actions* aActions)
{
  mCalls.Clear();
  mState = State::ReadingHead;
  aActions->push_back(
    ReadHead{ Remember(CallKind::Head, {}, aNow), StoreSource{} });
}

void
ConfigurationWriter::HandleFailure(const Call& aCall,
                                   Execution aExecution,
                                   Instant aNow,
                                   Actions* aActions)
{
  if (aCall.mKind == CallKind::DeletePart) {
    // The part stays listed as retired, for a later writer to delete.
    ContinueParts(aNow, aActions);
    return;
  }
  if (aCall.mKind == CallKind::Swap && aExecution != Execution::NotRun) {
    mOpenSwap = mKeyRevision;
  }
  Retry(aNow);
}

void
ConfigurationWriter::Retry(Instant aNow)
{
  mCalls.Clear();
  mState = State::Waiting;
  mDue = aNow + mBackoff.OnFailure();
}

void
ConfigurationWriter::ContinueReading(Instant aNow, Actions* aActions)
{
  while (!mToRead.empty() && mCalls.Count() < kCallsAtOnce) {
    const PartName part = mToRead.front();
    mToRead.pop_front();
    const CallId call = Remember(CallKind::ReadPart, part, aNow);
    aActions->push_back(ReadPart{ call, StoreSource{}, part });
  }
  if (mCalls.IsEmpty()) {
    BaseRead(aNow, aActions);
  }
}

void
ConfigurationWriter::BaseRead(Instant aNow, Actions* aActions)
{
  if (!mBase.mConfiguration || mBase.mHead != mReadHead) {
    const Result<std::shared_ptr<const Configuration>> decoded =
      ConfigurationCodec::Decode(mReadHead, mBase.mParts);
    if (IsError(decoded)) {
      mLastFault = Fault(ErrorCode::Unavailable,
                         "the store's configuration can't be read: " +
                           ErrorOf(decoded).mMessage);
      Retry(aNow);
      return;
    }
    mBase.mConfiguration = ValueOf(decoded);
    mBase.mHead = mReadHead;
  }
  mOldest = mBase.mHead.mRevision;
  MakeNext(aNow, aActions);
}

void
ConfigurationWriter::MakeNext(Instant aNow, Actions* aActions)
{
  // A swap that expects an earlier revision of the key can not take effect any
  // more, so the head shows whether it did.
  if (mOpenSwap && *mOpenSwap < mKeyRevision) {
    mOpenSwap.reset();
  }
  Result<ChangeOutcome> next = ApplyTask(mTask, mBase.mConfiguration);
  if (IsError(next)) {
    FinishFailed(ErrorOf(next), aActions);
    return;
  }
  if (ValueOf(next).mConfiguration == mBase.mConfiguration) {
    ChangeOutcome outcome = ReleaseValue(std::move(next));
    if (mNext.mRevision == outcome.mRevision) {
      outcome.mDifferences = mNext.mDifferences;
    }
    Finish(WriteOutcome{ std::move(outcome), std::nullopt, {} }, aActions);
    DeleteUnused(mReadHead, aActions);
    return;
  }
  if (mRacesLost >= kRaces) {
    FinishFailed(Fault(ErrorCode::Conflict,
                       "other changes kept coming first; nothing was changed"),
                 aActions);
    return;
  }
  mNext = ReleaseValue(std::move(next));
  Result<EncodedConfiguration> encoded =
    ConfigurationCodec::Encode(*mNext.mConfiguration, mReadHead, mTag);
  if (IsError(encoded)) {
    FinishFailed(ErrorOf(encoded), aActions);
    return;
  }
  mEncoded = ReleaseValue(std::move(encoded));
  PlanParts(aNow, aActions);
}

void
ConfigurationWriter::OnEra(StoreEra aEra)
{
  if (mEra.has_value() && *mEra != aEra) {
    mStored.clear();
    mMayLackParts = true;
  }
  mEra = aEra;
}

void
ConfigurationWriter::RepairParts(Instant aNow, Actions* aActions)
{
  mState = State::WritingParts;
  mToWrite.clear();
  mToDelete.clear();
  for (const auto& part : mEncoded.mParts) {
    mToWrite.push_back(part.first);
  }
  ContinueParts(aNow, aActions);
}

void
ConfigurationWriter::PlanParts(Instant aNow, Actions* aActions)
{
  mState = State::WritingParts;
  mToWrite.clear();
  mToDelete.clear();
  const std::set<PartName> known(mReadHead.mParts.begin(),
                                 mReadHead.mParts.end());
  for (const auto& [name, text] : mEncoded.mParts) {
    if (!known.contains(name) && !mStored.contains(name)) {
      mToWrite.push_back(name);
    }
  }
  for (const RetiredPart& retired : mEncoded.mHead.mRetired) {
    if (retired.mSince.value() + kRetiredRevisions <=
        mEncoded.mHead.mRevision.value()) {
      mToDelete.push_back(retired.mName);
    }
  }
  ContinueParts(aNow, aActions);
}

void
ConfigurationWriter::ContinueParts(Instant aNow, Actions* aActions)
{
  if (mState != State::WritingParts) {
    return;
  }
  while (!mToWrite.empty() && mCalls.Count() < kCallsAtOnce) {
    const PartName name = mToWrite.front();
    mToWrite.pop_front();
    mWritten.insert(name);
    const CallId call = Remember(CallKind::WritePart, name, aNow);
    aActions->push_back(WritePart{ call, name, mEncoded.mParts.at(name) });
  }
  while (!mToDelete.empty() && mCalls.Count() < kCallsAtOnce) {
    const PartName name = mToDelete.front();
    mToDelete.pop_front();
    const CallId call = Remember(CallKind::DeletePart, name, aNow);
    aActions->push_back(DeletePart{ call, name });
  }
  if (!mCalls.IsEmpty()) {
    return;
  }
  if (mReadHead == mEncoded.mHead) {
    Finish(WriteOutcome{ mNext, mEncoded, mSwapSent }, aActions);
    return;
  }
  Swap(aNow, aActions);
}

void
ConfigurationWriter::Swap(Instant aNow, Actions* aActions)
{
  VERIFY(mEncoded.mHead.mRevision > mReadHead.mRevision);
  mState = State::SwappingHead;
  mSwapSent = aNow;
  const CallId call = Remember(CallKind::Swap, {}, aNow);
  aActions->push_back(SwapHead{ call, mEncoded.mHead.Text(), mKeyRevision });
}

void
ConfigurationWriter::Finish(Result<WriteOutcome> aOutcome, Actions* aActions)
{
  VERIFY(mState != State::Finished);
  mState = State::Finished;
  mCalls.Clear();
  aActions->push_back(WriteFinished{ std::move(aOutcome) });
}

void
ConfigurationWriter::FinishFailed(Error aError, Actions* aActions)
{
  // While a swap is pending its outcome is unknown.
  if (mOpenSwap || mState == State::SwappingHead) {
    Finish(Fault(ErrorCode::OutcomeUnknown,
                 "the store did not tell whether the change took effect; "
                 "repeat it with the same operation id"),
           aActions);
    return;
  }
  Finish(std::move(aError), aActions);
  DeleteUnused({}, aActions);
}

void
ConfigurationWriter::DeleteUnused(const ConfigurationHead& aHead,
                                  Actions* aActions)
{
  const std::set<PartName> used(aHead.mParts.begin(), aHead.mParts.end());
  std::set<PartName> retired;
  for (const RetiredPart& part : aHead.mRetired) {
    retired.insert(part.mName);
  }
  for (const PartName& name : mWritten) {
    if (!used.contains(name) && !retired.contains(name)) {
      aActions->push_back(DeletePart{ mCalls.NextId(), name });
    }
  }
}

} // namespace verbenachute
