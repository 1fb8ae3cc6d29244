// Messages between nodes in relay mode. Generated code is committed under org.apricotdeal.wire.gen.
namespace java org.apricotdeal.wire.gen

// A node as it registers in the store.
struct TRelayNode {
  1: required string name;
  2: required string failureDomain;
  3: required string peerAddress;
  4: required i64 startedMillis;
  5: optional string callerAddress;   // where it takes requests that other nodes hand over; absent: it takes none
}

// Requests of one node at one target.
struct TRelayLoad {
  1: required string vm;
  2: required i64 number;
  3: required i32 running;
}

// Entry of a VM as the store holds it.
struct TRelayVmEntry {
  1: required string key;
  2: required i64 revision;           // at which the entry last said something new, or was removed
  3: optional binary value;           // absent: the entry was removed
}

// What a node that follows the store tells one that cannot. All revisions are of one incarnation of the store.
struct TRelayVmNews {
  1: required i64 upToRevision;
  2: required list<TRelayVmEntry> entries;
  3: optional i64 incarnation;
  4: optional i64 afterRevision;      // absent: these are all entries; else only what changed after this revision
}

// Whose requests the loads of a heartbeat are.
enum TRelayScope {
  NODE = 1,                           // the sender's
  DOMAIN = 2,                         // those of all nodes of the sender's failure domain
  FLEET = 3                           // those of all nodes but the receiver
}

// Another node as the sender knows it.
struct TRelayNodeSeen {
  1: required string name;
  2: required i32 ageMillis;          // time since the node was heard, by whomever
  3: required bool stopping;
  4: optional i64 sentMillis;         // sentMillis of that heartbeat; absent: the node does not tell it
}

// A VM that answers no calls for its state.
struct TRelaySilentVm {
  1: required string vm;
  2: required i32 ageMillis;          // time since the last call that it did not answer
}

// A crash of a VM, with the requests that it lost before they were answered.
struct TRelayCrash {
  1: required string upstream;
  2: required string model;
  3: required string release;
  4: required string vm;
  5: required i64 number;
  6: required i32 ageMillis;
  7: required list<list<string>> prompts;      // traits of each lost request: shared parts, ROUTE#HASH
  8: required list<string> soundParts;         // answered before the crash
  9: required list<string> clearedParts;       // answered since the crash
  10: optional i32 survivals;                  // earlier losses under this number that the VM survived
  11: optional bool survived;                  // the VM has answered since, so that it has not crashed
}

// Trials of a part that is blamed for crashes.
struct TRelayTrial {
  1: required string upstream;
  2: required string model;
  3: required string release;
  4: required string part;
  5: required i32 ageMillis;                   // time since the last trial started
  6: required i32 count;
  7: required bool passed;
}

// Failure domains that the operator evacuates, as of a revision of the store.
struct TRelayEvacuations {
  1: required i64 revision;
  2: required map<string, i64> sinceRevision;  // by failure domain: revision of the operator's word
  3: optional i64 incarnation;                 // of the store, for all revisions
}

// Demand for a queue of an engine's upstream, of the nodes that the loads of the heartbeat are of.
struct TRelayDemand {
  1: required string upstream;
  2: optional string model;           // absent: a plain service
  3: required i32 ageMillis;          // time since the oldest of the figures was measured
  4: required double sampleWeight;    // requests that the rates are based on, less for older ones
  5: required double newRequestsPerSecond;
  6: required map<i32, double> refusedPerSecond;   // by priority
  7: required double serviceMillis;
}

// Sent to a few nodes, and given back by them as the answer.
struct TRelayHeartbeat {
  1: required TRelayNode sender;
  2: required i64 catalogueVersion;   // 0: none
  3: required list<TRelayLoad> loads;
  // 4 was the catalogue, which nodes now fetch (GET /catalogue on the port for peers)
  5: optional i64 vmRevision;         // store revision up to which the sender knows the VMs' entries
  6: optional bool storeAway;         // the sender cannot follow the store
  7: optional TRelayVmNews vmNews;    // what is new since the receiver's revision
  8: optional bool stopping;          // the sender plans no more; what it has in progress goes on
  9: optional TRelayScope scope;
  10: optional list<TRelayNodeSeen> seen;
  11: optional i32 vmAgeMillis;       // time since the store confirmed the sender's revision
  12: optional list<TRelaySilentVm> silentVms;
  13: optional i64 crashDigest;        // of the crashes and trials that the sender knows
  14: optional list<TRelayCrash> crashes;   // those, where the receiver's digest differs
  15: optional list<TRelayTrial> trials;
  16: optional TRelayEvacuations evacuations;  // absent: the sender does not know them yet
  17: optional list<TRelayDemand> demand;      // by queue; absent: the sender does not measure it
  18: optional i64 vmIncarnation;              // incarnation of the store for vmRevision
  19: optional list<TRelayCrash> serviceCrashes;   // as crashes, of plain services; their model is empty
  20: optional list<TRelayTrial> serviceTrials;
  21: optional i64 sentMillis;                // when it was sent, by the sender's own clock; grows with each one, also over restarts
}
