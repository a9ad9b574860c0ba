@0xc2a97d5e4b1f8036;

# What gateway daemons send one another. One struct for each message of `quincespool.gateway.members.messages`,
# field for field (`snake_case` there, `camelCase` here). New fields and messages are added at the end of
# their struct or union; a change of meaning raises the version.

struct Envelope {
  version @0 :UInt16;
  sender @1 :Text;
  union {
    heartbeat @2 :Heartbeat;
    relayCall @3 :RelayCall;
    relayCancel @4 :RelayCancel;
    relayHead @5 :RelayHead;
    relayPiece @6 :RelayPiece;
    relayEnd @7 :RelayEnd;
    relayRefused @8 :RelayRefused;
    settleTurn @9 :SettleTurn;
    turnSettled @10 :TurnSettled;
    linkProbe @11 :LinkProbe;
    crashNotice @12 :CrashNotice;
    findTurn @13 :FindTurn;
    turnFound @14 :TurnFound;
    turnAbsent @15 :TurnAbsent;
    silenceNotice @16 :SilenceNotice;
    silenceQuestion @17 :SilenceQuestion;
    backendReport @18 :BackendReport;
    turnForeign @19 :TurnForeign;
    configurationQuestion @20 :ConfigurationQuestion;
    configurationCopy @21 :ConfigurationCopy;
    permitQuestion @22 :PermitQuestion;
    permitAnswer @23 :PermitAnswer;
    permitReturn @24 :PermitReturn;
  }
}

struct PartitionClaim {
  topic @0 :Text;
  number @1 :Int64;
  epoch @2 :Int64;
}

struct BackendLoad {
  backendId @0 :Text;
  inFlight @1 :Int64;
}

struct Heartbeat {
  # By datagram; each replaces the last one of its sender.
  incarnation @0 :Int64;
  sequence @1 :Int64;
  draining @2 :Bool;
  configurationVersion @3 :Int64;
  generation @4 :Int64;
  claims @5 :List(PartitionClaim);
  # Loads, as daemons of earlier releases tell them; not read any more.
  obsolete6 @6 :List(BackendLoad);
  storeReachable @7 :Bool;
  engineId @8 :Text;
  engineEventUs @9 :Int64;
  retiredClaims @10 :List(PartitionClaim);
}

struct HeaderPair {
  name @0 :Text;
  value @1 :Text;
}

struct RelayCall {
  # A turn for the owner of its program, with what was decided on where it came in. Numbers of -1
  # mean that the caller did not say.
  relayId @0 :Int64;
  callId @1 :Text;
  method @2 :Text;
  host @3 :Text;
  target @4 :Text;
  headers @5 :List(HeaderPair);
  body @6 :Data;
  leftMs @7 :Int64;
  programId @8 :Text;
  previousId @9 :Text;
  budgetTokens @10 :Int64;
  mostTokens @11 :Int64;
  programLeftMs @12 :Int64;
  configurationVersion @13 :Int64;
  # Of earlier versions, neither written nor read: objectiveMs and those that say obsolete.
  obsolete14 @14 :Text;
  obsolete15 @15 :Text;
  kind @16 :Text;
  timeoutMs @17 :Int64;
  objectiveMs @18 :Int64;  # Of earlier versions; neither written nor read.
  rank @19 :Int64;
  maxAttempts @20 :Int64;
  keepsHistory @21 :Bool;
  retentionMs @22 :Int64;
  service @23 :Text;
  obsolete24 @24 :Int64;
  tokensPerEvent @25 :Int64;
  obsolete26 @26 :Int64;
  obsolete27 @27 :Int64;
  patienceMs @28 :Int64;  # 0 from earlier versions.
  account @29 :Text;
  route @30 :Text;
  resumable @31 :Bool;
  resumesAfter @32 :Int64;  # -1 if the caller has no event of it yet.
  routeRank @33 :Int64;  # Of the route among calls of accounts of one rank.
  pressed @34 :Bool;  # Whether the account has used most of what it may have run.
}

struct RelayCancel {
  # The caller has gone, or the receiver has given the call up.
  relayId @0 :Int64;
}

struct RelayHead {
  relayId @0 :Int64;
  status @1 :Int64;
  headers @2 :List(HeaderPair);
}

struct RelayPiece {
  relayId @0 :Int64;
  data @1 :Data;
}

struct RelayEnd {
  relayId @0 :Int64;
}

struct RelayRefused {
  # The final answer; after a head it means that the answer breaks off.
  relayId @0 :Int64;
  status @1 :Int64;
  verdict @2 :Text;
  reason @3 :Text;
  retryAfterMs @4 :Int64;
}

struct SettleTurn {
  # A record of a turn whose daemon has lost the partition meanwhile.
  settleId @0 :Int64;
  topic @1 :Text;
  number @2 :Int64;
  record @3 :Data;
  budgetTokens @4 :Int64;
}

struct TurnSettled {
  settleId @0 :Int64;
  outcome @1 :Text;
}

struct FindTurn {
  # Whoever owns the partition with this turn is asked for its history.
  findId @0 :Int64;
  turnId @1 :Text;
  certain @2 :Bool;
  account @3 :Text;
  claimed @4 :Bool;
}

struct TurnForeign {
  # The turn is of another account.
  findId @0 :Int64;
}

struct PermitQuestion {
  # A call wants to run; the receiver is asked as the home of its account.
  permitId @0 :Int64;
  account @1 :Text;
  programId @2 :Text;
  mayBegin @3 :Bool;
  kind @4 :Text;
  toldCalls @5 :Int64;  # -1 if no home has told the sender.
  rank @6 :Int64;
}

struct PermitAnswer {
  permitId @0 :Int64;
  outcome @1 :Text;
  afterMs @2 :Int64;
  isPressed @3 :Bool;
  leftCalls @4 :Int64;
}

struct PermitReturn {
  # A call of the account that was let through has reached no backend server.
  account @0 :Text;
}

struct ConfigurationQuestion {
  # The sender knows no newer configuration than this.
  version @0 :Int64;
}

struct ConfigurationCopy {
  # A whole configuration, with its version, and with digests in place of keys.
  data @0 :Data;
}

struct TurnFound {
  findId @0 :Int64;
  history @1 :Data;
  retentionMs @2 :Int64;
}

struct TurnAbsent {
  # The turn is in none of these partitions, whose ownership the store has just confirmed, or which
  # the sender claims by its lease.
  findId @0 :Int64;
  partitions @1 :List(PartitionClaim);
  claimed @2 :Bool;
}

struct LinkProbe {
  # Makes the kernel notice a link that has gone silent.
  sentMs @0 :Int64;
}

struct SilenceNotice {
  # The sender watches this daemon and takes it to be gone.
  memberId @0 :Text;
  incarnation @1 :Int64;
}

struct SilenceQuestion {
  # The sender watches the receiver and has not heard it for some heartbeats.
  incarnation @0 :Int64;
}

struct CrashNotice {
  # A backend server broke off while it ran a request with this fingerprint.
  fingerprint @0 :Text;
  backendId @1 :Text;
}

struct BackendReport {
  # A call of the sender went wrong at this backend server, or is far slower than usual.
  backendId @0 :Text;
  bornMs @1 :Int64;
  lateMs @2 :Int64;
}
