// Messages between nodes in relay mode. Generated code is committed under org.apricotdeal.wire.gen.
namespace java org.apricotdeal.wire.gen

// A node as it registers in the store.
struct TRelayNode {
  1: required string name;
  2: required string failureDomain;
  3: required string peerAddress;
  4: required i64 startedMillis;
}

// Requests of one node at one target.
struct TRelayLoad {
  1: required string vm;
  2: required i64 number;
  3: required i32 running;
}

struct TRelayHeartbeat {
  1: required TRelayNode sender;
  2: required i64 catalogueVersion;   // 0: none
  3: required list<TRelayLoad> loads;
  4: optional binary catalogue;       // operator's bytes, where the receiver is behind
}
