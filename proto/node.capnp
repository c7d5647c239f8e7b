@0xb6f0d9a4c1e27835;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("waxwingloft::wire");

# Messages between processes of the system. Mirrors include/waxwingloft/connection/messages.h.

struct HybridTime { millis @0 :Int64; counter @1 :UInt32; }
struct Header { from @0 :Text; address @1 :Text; time @2 :HybridTime; settingsVersion @3 :UInt64; }
struct Error { kind @0 :UInt8; message @1 :Text; remedy @2 :Text; }
struct Load { inUse @0 :UInt32; slots @1 :UInt32; }
struct Resources { processors @0 :Int64; memoryGb @1 :Int64; accelerators @2 :Int64; }
struct Location { region @0 :Text; dataCentre @1 :Text; rack @2 :Text; }

struct Dispatch {
  attempt @0 :Text; workspace @1 :Text; request @2 :Text; kind @3 :Text; team @4 :Text;
  teamVersion @5 :UInt64; incarnation @6 :UInt64; idempotent @7 :Bool; timeLeftMs @8 :Int64; payload @9 :Data;
}
struct QueryAttempt { attempt @0 :Text; incarnation @1 :UInt64; waitMs @2 :Int64; ageMs @3 :Int64; }
struct AttemptReply {
  attempt @0 :Text; state @1 :UInt8; outcome @2 :UInt8; error @3 :Error; payload @4 :Data; load @5 :Load;
}
struct GangMember { node @0 :Text; address @1 :Text; incarnation @2 :UInt64; tasks @3 :UInt32; }
struct PrepareGang {
  job @0 :Text; attempt @1 :Text; region @2 :Text; epoch @3 :UInt64; workspace @4 :Text; team @5 :Text;
  teamVersion @6 :UInt64; kind @7 :Text; perTask @8 :Resources; members @9 :List(GangMember);
  reserveForMs @10 :Int64; taskLeaseMs @11 :Int64; checkpoint @12 :Text; payload @13 :Data;
}
struct StartGang { job @0 :Text; attempt @1 :Text; epoch @2 :UInt64; }
struct StopGang { job @0 :Text; attempt @1 :Text; epoch @2 :UInt64; graceMs @3 :Int64; incarnation @4 :UInt64; }
struct RenewGang { job @0 :Text; attempt @1 :Text; member @2 :Text; state @3 :UInt8; }
struct GangReply {
  job @0 :Text; attempt @1 :Text; state @2 :UInt8; mustStop @3 :Bool; checkpoint @4 :Text; error @5 :Error; refused @6 :Bool;
}
struct AskReport { region @0 :Text; epoch @1 :UInt64; }
struct GangReport {
  job @0 :Text; attempt @1 :Text; workspace @2 :Text; state @3 :UInt8; tasks @4 :UInt32; perTask @5 :Resources;
}
struct NodeReport { incarnation @0 :UInt64; gangs @1 :List(GangReport); }
struct Member {
  node @0 :Text; incarnation @1 :UInt64; role @2 :UInt8; state @3 :UInt8; location @4 :Location; rpcAddress @5 :Text;
  kinds @6 :List(Text); slots @7 :UInt32; resources @8 :Resources;
}
struct Heartbeat { shard @0 :Text; member @1 :Member; }
struct HeartbeatReply { accepted @0 :Bool; }
struct MembersDelta {
  shard @0 :Text; book @1 :UInt64; since @2 :UInt64; revision @3 :UInt64; changed @4 :List(Member); total @5 :UInt32;
}
struct PushMembersReply { book @0 :UInt64; revision @1 :UInt64; }
struct TeamSubtree { team @0 :Text; version @1 :UInt64; json @2 :Text; changedBy @3 :Text; }
struct SettingsDelta { since @0 :UInt64; version @1 :UInt64; teams @2 :List(TeamSubtree); }
struct FetchEvents { since @0 :HybridTime; limit @1 :UInt32; }
struct Event { time @0 :HybridTime; node @1 :Text; kind @2 :UInt8; subject @3 :Text; workspace @4 :Text; detail @5 :Text; }

struct TaskRun { task @0 :Text; run @1 :UInt32; }
struct Capacity { milliCores @0 :Int64; memoryMb @1 :Int64; accelerators @2 :Int64; }
struct ExecutorLife { id @0 :Text; startedAt @1 :Int64; }
struct RunReport { run @0 :TaskRun; phase @1 :UInt8; checkpoint @2 :Text; percent @3 :UInt32; startEffect @4 :UInt8; }
struct EndReport { number @0 :UInt64; run @1 :TaskRun; end @2 :UInt8; checkpoint @3 :Text; refusal @4 :UInt8; }
struct AgentReport {
  node @0 :Text; address @1 :Text; generation @2 :UInt64; sequence @3 :UInt64; epoch @4 :UInt64; life @5 :ExecutorLife;
  service @6 :Text; zone @7 :Text; draining @8 :Bool; reachable @9 :Bool; capacity @10 :Capacity; labels @11 :List(Text);
  syncSequence @12 :UInt64; runs @13 :List(RunReport); ends @14 :List(EndReport);
  # openCalls is not set any more: it told the version before that late calls may prolong leases.
  openCalls @15 :Bool; budgetLeftMs @16 :Int64; drainLeftMs @17 :Int64 = -1; coldLeftMs @18 :Int64;
}
struct Assignment { run @0 :TaskRun; needs @1 :Capacity; hasOrder @2 :Bool; spec @3 :Text; checkpoint @4 :Text; }
struct AssignmentSync {
  epoch @0 :UInt64; sequence @1 :UInt64; life @2 :ExecutorLife; notedEnds @3 :UInt64; licenceMs @4 :Int64;
  assignments @5 :List(Assignment); needsStartPermission @6 :Bool; startPermissionMs @7 :Int64; zoneClosed @8 :Bool;
}

struct Row { key @0 :Text; value @1 :Data; revision @2 :UInt64; operation @3 :Text; removed @4 :Bool; }
struct Condition { key @0 :Text; revision @1 :UInt64; }
struct Write { key @0 :Text; hasValue @1 :Bool; value @2 :Data; }
struct Transaction { operation @0 :Text; conditions @1 :List(Condition); writes @2 :List(Write); }
struct RelayTableCall { kind @0 :UInt8; key @1 :Text; since @2 :UInt64; transaction @3 :Transaction; }
struct RelayTableAnswer { rows @0 :List(Row); revision @1 :UInt64; }

struct Message {
  union {
    ping @0 :Void;
    ack @1 :Void;
    errorReply @2 :Error;
    dispatch @3 :Dispatch;
    queryAttempt @4 :QueryAttempt;
    attemptReply @5 :AttemptReply;
    prepareGang @6 :PrepareGang;
    startGang @7 :StartGang;
    stopGang @8 :StopGang;
    renewGang @9 :RenewGang;
    gangReply @10 :GangReply;
    askReport @11 :AskReport;
    nodeReport @12 :NodeReport;
    heartbeat @13 :Heartbeat;
    heartbeatReply @14 :HeartbeatReply;
    pushMembers @15 :MembersDelta;
    pushMembersReply @16 :PushMembersReply;
    fetchSettings @17 :UInt64;
    settingsUpdate @18 :SettingsDelta;
    fetchEvents @19 :FetchEvents;
    eventBatch @20 :List(Event);
    nudgePlacer @21 :Text;
    drainNode @22 :Void;
    agentReport @23 :AgentReport;
    assignmentSync @24 :AssignmentSync;
    relayTableCall @25 :RelayTableCall;
    relayTableAnswer @26 :RelayTableAnswer;
    rowNotice @27 :Row;
  }
}

interface Node {
  exchange @0 (header :Header, message :Message) -> (header :Header, message :Message);
}
