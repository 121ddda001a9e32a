#pragma once

#include <cstdint>

namespace verbenachute {

/// Number of a type of log event. Numbers are stable: the number of a removed
/// event is never reused. Each subsystem has a range of one hundred numbers.
enum class EventNumber : std::uint16_t
{
  DaemonStarted = 100,
  SettingsRefused = 101,
  ListenFailed = 102,
  EventsSuppressed = 103,
  ProcessPaused = 104,

  MemberJoined = 200,
  MemberSuspected = 201,
  MemberRefuted = 202,
  MemberDied = 203,
  MemberLeaving = 204,
  MemberReplaced = 205,
  VmListUnavailable = 206,
  VmListRestored = 207,

  LeaseAcquired = 300,
  LeaseLost = 301,
  LeaseReleased = 302,
  RosterChanged = 303,

  ConfigurationApplied = 400,
  ConfigurationStale = 401,
  StoreUnavailable = 402,
  StoreRestored = 403,
  ChangeAccepted = 404,
  ChangeRefused = 405,
  ChangeProposed = 406,
  PlanApplied = 407,
  PlanIgnored = 408,
  EntryUnreadable = 409,
  DomainTakenOut = 410,
  DomainBroughtIn = 411,
  SettingsReloaded = 412,
  StoreEraRaised = 413,
  StoreEraUnreadable = 414,
  EvacuationRetained = 415,
  PlanFromPeer = 416,
  ConfigurationRewritten = 417,
  StoreCallRepeated = 418,

  QueryRefused = 500,
  QueryPartial = 501,
  OutcomeUnknown = 502,
  CallerHungUp = 503,
  CallerInputRefused = 504,
  RequestFailed = 505,
  RequestLate = 506,
  ClientEvicted = 507,
  AcceptingPaused = 508,

  TargetWarming = 600,
  TargetReady = 601,
  TargetDraining = 602,
  TargetDown = 603,
  RequestPoisoned = 604,
  LoadShed = 605,
  TargetGone = 606,
  TargetLostUnderRequest = 607,
  TargetFieldUnreadable = 608,
  TargetHoldChanged = 609,
  TargetResponseTooLarge = 610,
  RolloutOrdered = 611,
  RolloutPhaseChanged = 612,
  RolloutStopped = 613,
  RolloutWriteFailed = 614,

  RequestReplayed = 700,
  RequestConflict = 701,
  OnceTableFull = 702,
  TicketUnknown = 703,

  PeerConnected = 800,
  PeerLost = 801,
  PeerMessageRefused = 802,

  ShutdownStarted = 900,
  ShutdownPhase = 901,
  ShutdownGaveUp = 902,
  ShutdownFinished = 903,
};

} // namespace verbenachute
