# Messages between callers, balancers and targets. One envelope holds exactly one message.
@0xd1c3a5f27be94d61;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("poplarroad::schema");

struct Envelope {
  version @0 :UInt16;
  union {
    request @1 :Request;
    cancel @2 :FlowCall;
    renew @3 :FlowCall;
    close @4 :FlowCall;

    answer @5 :Answer;
    notRun @6 :NotRun;
    unknown @7 :Unknown;
    renewed @8 :Renewed;

    run @9 :Run;
    cancelRun @10 :RunId;
    result @11 :Result;
    refused @12 :Refused;
    load @13 :Load;

    ping @14 :Probe;
    ack @15 :Probe;
    pingRequest @16 :PingRequest;
    zoneSummary @17 :ZoneSummary;

    forward @18 :Forward;
    forwardReply @19 :ForwardReply;
    configRequest @20 :UInt64;
    configChanges @21 :List(Text);
    configSnapshot @22 :SnapshotPart;

    directoryBeacon @23 :DirectoryBeacon;
    directoryRequest @24 :DirectoryRequest;
    # Target IDs were the numbers in their names.
    obsoleteDirectoryContent @25 :DirectoryContent;
    loadReport @26 :List(TargetLoad);
    zoneIntroduction @27 :List(Address);
    directoryContent @28 :DirectoryContent;
  }
}

# Part `part` of `parts` of a whole configuration, which may be longer than a frame.
struct SnapshotPart {
  revision @0 :UInt64;
  part @1 :UInt32;
  parts @2 :UInt32;
  chunk @3 :Text;
}

struct Trace {
  high @0 :UInt64;
  low @1 :UInt64;
  parentSpan @2 :UInt64;
}

struct Request {
  flow @0 :UInt64;
  sequence @1 :UInt64;
  service @2 :UInt32;
  kind @3 :UInt32;
  caller @4 :UInt64;
  remainingMs @5 :UInt32;
  attempt @6 :UInt32;
  resumeFrom @7 :UInt64;
  token @8 :Data;
  tokenRejected @9 :Bool;
  trace @10 :Trace;
  payload @11 :Data;
}

# Cancel, renew and close.
struct FlowCall {
  flow @0 :UInt64;
  sequence @1 :UInt64;
  service @2 :UInt32;
  caller @3 :UInt64;
  token @4 :Data;
  tokenRejected @5 :Bool;
  trace @6 :Trace;
  remainingMs @7 :UInt32; # only of a renewal; 0 means the default
}

# Part `part` of `parts` of one answer; the payloads of the parts follow each other.
struct Answer {
  flow @0 :UInt64;
  sequence @1 :UInt64;
  service @2 :UInt32;
  caller @3 :UInt64;
  position @4 :UInt64;
  last @5 :Bool;
  part @6 :UInt16;
  parts @7 :UInt16;
  token @8 :Data;
  trace @9 :Trace;
  payload @10 :Data;
}

struct NotRun {
  flow @0 :UInt64;
  sequence @1 :UInt64;
  service @2 :UInt32;
  caller @3 :UInt64;
  reason @4 :UInt8;
  retryAfterMs @5 :UInt32;
  token @6 :Data;
}

struct Unknown {
  flow @0 :UInt64;
  sequence @1 :UInt64;
  service @2 :UInt32;
  caller @3 :UInt64;
  reason @4 :UInt8;
}

struct Renewed {
  flow @0 :UInt64;
  service @1 :UInt32;
  caller @2 :UInt64;
  token @3 :Data;
}

struct Run {
  request @0 :Request;
  connection @1 :Bool;
}

struct RunId {
  flow @0 :UInt64;
  sequence @1 :UInt64;
}

struct Result {
  id @0 :RunId;
  position @1 :UInt64;
  last @2 :Bool;
  payload @3 :Data;
}

struct Refused {
  id @0 :RunId;
  reason @1 :UInt8;
}

struct Load {
  healthy @0 :Bool;
  inProgress @1 :UInt32;
}

struct Address {
  ip @0 :UInt32;
  port @1 :UInt16;
}

# The address is not a struct of its own: gossip is the greatest part of the control traffic, and pointers cost 8 bytes.
struct Member {
  ip @0 :UInt32;
  port @1 :UInt16;
  state @2 :UInt8;
  incarnation @3 :UInt64;
  epoch @4 :UInt64;
  version @5 :UInt32;
  rank @6 :UInt16;
}

struct Probe {
  sequence @0 :UInt64;
  revision @1 :UInt64;
  updates @2 :List(Member);
  join @3 :Bool;
  digest @4 :UInt64;
}

struct PingRequest {
  probe @0 :Probe;
  target @1 :Address;
}

struct ZoneSummary {
  zone @0 :UInt32;
  gateways @1 :List(Address);
  liveHosts @2 :UInt32;
  revision @3 :UInt64;
  reachable @4 :Bool;
  wantsReply @5 :Bool;
  ageMs @6 :UInt32;
}

struct ReturnPath {
  ingress @0 :Address;
  endpoint @1 :UInt64;
}

struct Forward {
  path @0 :ReturnPath;
  hops @1 :UInt8;
  message @2 :Envelope;
}

struct PoolReport {
  service @0 :UInt32;
  zone @1 :UInt32;
  saturation @2 :Float64;
  shedBelow @3 :UInt8;
  shedForMs @4 :UInt32;
}

struct ForwardReply {
  path @0 :ReturnPath;
  reply @1 :Envelope;
  report @2 :PoolReport;
}

struct DirectoryBeacon {
  followerIp @0 :UInt32;
  followerPort @1 :UInt16;
  relayed @2 :Bool;
  rank @3 :UInt64;
  serviceVersion @4 :UInt64;
  targets @5 :UInt64;
  contactAgeMs @6 :UInt32;
  targetsDigest @7 :UInt64;
  targetsContactAgeMs @8 :UInt32;
  evacuationsRevision @9 :UInt64;
  evacuatedZones @10 :List(UInt32);
}

struct DirectoryRequest {
  serviceVersion @0 :UInt64;
  targets @1 :UInt64;
  changesOnly @2 :Bool;
  differs @3 :Bool;
}

struct WeightedService {
  service @0 :UInt32;
  weight @1 :UInt32;
}

# Routes that differ in their addresses only; most of the routes of a deployment do.
struct RouteGroup {
  kind @0 :UInt8;
  urgency @1 :UInt8;
  deadlineMs @2 :UInt32;
  latencyGoalMs @3 :UInt32;
  services @4 :List(WeightedService);
  # The IPv4 address above the 16 bits of the port.
  addresses @5 :List(UInt64);
}

# How many new flows a target of the service accepts while it warms up.
struct WarmupLimit {
  service @0 :UInt32;
  perSecond @1 :Float64;
}

struct ServiceMap {
  version @0 :UInt64;
  idleTimeoutMs @1 :UInt32;
  groups @2 :List(RouteGroup);
  warmups @3 :List(WarmupLimit);
}

struct ListedTarget {
  id @0 :UInt64;
  instance @1 :UInt64;
  revision @2 :UInt64;
  service @3 :UInt32;
  zone @4 :UInt32;
  ip @5 :UInt32;
  port @6 :UInt16;
  slots @7 :UInt16;
  warmupMs @8 :UInt32;
  state @9 :UInt8;
  listing @10 :UInt8;
  name @11 :Text;
  number @12 :UInt64;
}

# Services are left out when the receiver has them.
struct DirectoryContent {
  services @0 :ServiceMap;
  targetsAfter @1 :UInt64;
  targetsRevision @2 :UInt64;
  targetsComplete @3 :Bool;
  targets @4 :List(ListedTarget);
  evacuationsRevision @5 :UInt64;
  evacuatedZones @6 :List(UInt32);
}

struct TargetLoad {
  target @0 :UInt64;
  flows @1 :UInt16;
  busy @2 :UInt16;
  stuck @3 :UInt16;
  sinceProgressMs @4 :UInt32;
  answers @5 :UInt16;
  meanAnswerMs @6 :UInt16;
  shortAnswers @7 :UInt16;
}
