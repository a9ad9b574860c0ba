@0xd1f3a6c58b27e490;

# What daemons send one another. One struct for each message of `quincespool.core.messages`, field for
# field (`snake_case` there, `camelCase` here); `quincespool.net.codec` maps them by name. New fields and
# messages are added at the end of their struct or union; a change of meaning raises the version.

struct Envelope {
  version @0 :UInt16;
  sender @1 :Text;
  union {
    hello @2 :Hello;
    membersTold @3 :MembersTold;
    forwardCall @4 :ForwardCall;
    forwardEnd @5 :ForwardEnd;
    forwardAudit @6 :ForwardAudit;
    forwardGone @7 :ForwardGone;
    forwardText @8 :ForwardText;
    forwardAnswer @9 :ForwardAnswer;
    dispatch @10 :Dispatch;
    dispatchText @11 :DispatchText;
    dispatchDone @12 :DispatchDone;
    dispatchCancel @13 :DispatchCancel;
    keeperElsewhere @14 :KeeperElsewhere;
    commitGroup @15 :CommitGroup;
    commitRefused @16 :CommitRefused;
    programsAsked @17 :ProgramsAsked;
    programsOver @18 :ProgramsOver;
    cacheRelease @19 :CacheRelease;
    crashSeen @20 :CrashSeen;
    backendSummary @21 :BackendSummary;
    summaryAsked @22 :SummaryAsked;
    catalogueAsked @23 :CatalogueAsked;
    catalogueTold @24 :CatalogueTold;
    partitionAsked @25 :PartitionAsked;
    ping @26 :Ping;
    ack @27 :Ack;
    pingRequest @28 :PingRequest;
    accountAsked @29 :AccountAsked;
    accountGranted @30 :AccountGranted;
    accountElsewhere @31 :AccountElsewhere;
  }
}

struct Hello {
  # First on every link: which process speaks, and to whom it believes to speak.
  incarnation @0 :Int64;
  targetId @1 :Text;
}

struct MemberUpdate {
  memberId @0 :Text;
  incarnation @1 :Int64;
  refutation @2 :Int64;
  zone @3 :Text;
  host @4 :Text;
  httpPort @5 :Int64;
  peerPort @6 :Int64;
  state @7 :Text;
  draining @8 :Bool;
}

struct MembersTold {
  updates @0 :List(MemberUpdate);
}

struct ForwardCall {
  ticket @0 :Int64;
  programId @1 :Text;
  callNumber @2 :Int64;
  className @3 :Text;
  account @4 :Text;
  callKind @5 :Text;
  target @6 :Text;
  path @7 :Text;
  body @8 :Data;
  stream @9 :Bool;
  idempotent @10 :Bool;
  maxTokens @11 :Int64;
  deadlineMs @12 :Int64;
  firstSend @13 :Bool;
}

struct ForwardEnd {
  ticket @0 :Int64;
  programId @1 :Text;
}

struct ForwardAudit {
  ticket @0 :Int64;
  outcomeId @1 :Text;
}

struct ForwardGone {
  ticket @0 :Int64;
}

struct ForwardText {
  ticket @0 :Int64;
  text @1 :Text;
}

struct ForwardAnswer {
  ticket @0 :Int64;
  status @1 :Int64;
  body @2 :Data;
  contentType @3 :Text;
  verdict @4 :Text;
  outcomeId @5 :Text;
  retryAfterMs @6 :Int64;
  reason @7 :Text;
}

struct Dispatch {
  attemptId @0 :Text;
  backend @1 :Text;
  programId @2 :Text;
  callNumber @3 :Int64;
  epoch @4 :Int64;
  callKind @5 :Text;
  target @6 :Text;
  path @7 :Text;
  body @8 :Data;
  nonIdempotent @9 :Bool;
  priority @10 :Int64;
  timeLimitMs @11 :Int64;
  maxTokens @12 :Int64;
  promptTokens @13 :Int64;
  attainedMs @14 :Int64;
  fingerprint @15 :Text;
  keeperIncarnation @16 :Int64;
}

struct DispatchText {
  attemptId @0 :Text;
  text @1 :Text;
}

struct DispatchDone {
  attemptId @0 :Text;
  verdict @1 :Text;
  status @2 :Int64;
  body @3 :Data;
  contentType @4 :Text;
  promptTokens @5 :Int64;
  cachedTokens @6 :Int64;
  completionTokens @7 :Int64;
  finishReason @8 :Text;
  reason @9 :Text;
  retryAfterMs @10 :Int64;
  crashed @11 :Bool;
}

struct DispatchCancel {
  attemptId @0 :Text;
}

struct KeeperElsewhere {
  attemptId @0 :Text;
  backend @1 :Text;
  holder @2 :Text;
}

struct CommitGroup {
  ticket @0 :Int64;
  stream @1 :Text;
  group @2 :Data;
}

struct CommitRefused {
  ticket @0 :Int64;
  stream @1 :Text;
}

struct ProgramsAsked {
  ticket @0 :Int64;
  backend @1 :Text;
  programIds @2 :List(Text);
}

struct ProgramsOver {
  ticket @0 :Int64;
  backend @1 :Text;
  over @2 :List(Text);
  unknown @3 :List(Text);
}

struct CacheRelease {
  backend @0 :Text;
  programId @1 :Text;
}

struct CrashSeen {
  fingerprint @0 :Text;
  backend @1 :Text;
  programId @2 :Text;
  callNumber @3 :Int64;
}

struct BackendSummary {
  backend @0 :Text;
  running @1 :Int64;
  waiting @2 :Int64;
  waitingTokens @3 :Int64;
  slots @4 :Int64;
  sentAtMs @5 :Int64;
}

struct SummaryAsked {
  backend @0 :Text;
}

struct CatalogueAsked {
  knownVersion @0 :Int64;
}

struct CatalogueTold {
  nextOffset @0 :Int64;
  state @1 :Data;
}

struct PartitionAsked {
  resource @0 :Text;
  epoch @1 :Int64;
}

struct Ping {
  sequence @0 :Int64;
  senderId @1 :Text;
  updates @2 :List(MemberUpdate);
}

struct Ack {
  sequence @0 :Int64;
  senderId @1 :Text;
  subjectId @2 :Text;
  updates @3 :List(MemberUpdate);
}

struct PingRequest {
  sequence @0 :Int64;
  senderId @1 :Text;
  targetId @2 :Text;
  targetHost @3 :Text;
  targetPort @4 :Int64;
  updates @5 :List(MemberUpdate);
}

struct AccountAsked {
  account @0 :Text;
  incarnation @1 :Int64;
  sequence @2 :Int64;
  epoch @3 :Int64;
  held @4 :Int64;
  wanted @5 :Int64;
  tokensNeeded @6 :Int64;
  tokensWanted @7 :Int64;
  holdMs @8 :Int64;
}

struct AccountGranted {
  account @0 :Text;
  incarnation @1 :Int64;
  sequence @2 :Int64;
  epoch @3 :Int64;
  permits @4 :Int64;
  tokens @5 :Int64;
  termMs @6 :Int64;
  retryAfterMs @7 :Int64;
}

struct AccountElsewhere {
  account @0 :Text;
  incarnation @1 :Int64;
  sequence @2 :Int64;
  holder @3 :Text;
}
