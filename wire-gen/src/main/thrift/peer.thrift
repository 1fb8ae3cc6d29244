// Messages between apricotdeal-node processes. Generated code is committed under org.apricotdeal.wire.gen;
// wire-gen/generate regenerates it.
namespace java org.apricotdeal.wire.gen

struct THybridTime { 1: required i64 wallMillis; 2: required i32 counter; }

enum THealth { ALIVE, SUSPECT, FAILED }
enum TPhase { IDLE, LOADING, JOINED }

// What a prober has found out about an upstream VM since the last acknowledged news.
struct TVmNews {
  1: required string vm;
  2: required i64 incarnation;
  3: optional THealth health;        // absent: no longer probed
  4: optional string bootId;
  5: optional TPhase phase;          // absent: no engine state
  6: optional string replica;
  7: optional i64 generation;
  8: optional list<string> members;
  9: optional i64 fence;
  10: optional string loadedModel;
}

struct THeartbeat {
  1: required string bootId;
  2: required i64 sentMillis;
  3: required string echoBootId;
  4: required i64 echoMillis;
  5: required i64 ackIncarnation;
  6: required i64 oldestAliveMillis;
  7: required i64 afterIncarnation;
  8: required list<TVmNews> news;
}

struct TCatalogueRequest { 1: required i64 haveVersion; }
struct TCatalogueEntry { 1: required string key; 2: optional string json; }   // no json: the entry was deleted
struct TCatalogue {
  1: required i64 version;
  2: required string changeId;
  3: required i64 baseVersion;                 // 0: entries are the whole catalogue
  4: required list<TCatalogueEntry> entries;
  5: required string digest;
  6: required i64 platformRevision;            // 0 where unknown
}

struct TPlanRequest { 1: required i64 haveVersion; }
struct TPlan { 1: required i64 version; 2: required binary plan; }

// Promise not to take over the planner's role for a bounded time (repair while the platform is away).
struct TPromiseRequest { 1: required string planner; 2: required i64 planVersion; 3: required i64 forMillis; }
struct TPromise { 1: required string node; 2: required bool granted; 3: required i64 forMillis; 4: required i64 planVersion; }

// Shares of callers' limits: ask, grant or return.
struct TShareAsk { 1: required string caller; 2: required double wantedPerSecond; 3: required i64 epoch; }
struct TShareGrant { 1: required string caller; 2: required double grantedPerSecond; 3: required i64 forMillis; 4: required i64 epoch; }
struct TShareReturn { 1: required string caller; 2: required i64 epoch; }

// Room that a failure domain has for requests of others.
struct TDomainLoad { 1: required string classId; 2: required string upstream; 3: required i32 openStreams; }
struct TDomainLoads { 1: required list<TDomainLoad> loads; }

struct TCatalogueVersion { 1: required i64 version; 2: required string digest; }

union TPeerBody {
  1: THeartbeat heartbeat;
  2: TCatalogueVersion catalogueVersion;
  3: TCatalogueRequest catalogueRequest;
  4: TCatalogue catalogue;
  5: TPlanRequest planRequest;
  6: TPlan plan;
  7: TPromiseRequest promiseRequest;
  8: TPromise promise;
  9: TShareAsk shareAsk;
  10: TShareGrant shareGrant;
  11: TShareReturn shareReturn;
  12: TDomainLoads domainLoads;
}

// What travels: every message names its sender and carries its time.
struct TPeerMessage {
  1: required string sender;
  2: required string senderDomain;
  3: required THybridTime time;
  4: required TPeerBody body;
}
