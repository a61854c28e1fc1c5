// Messages between entry instances: the body of `POST /peer/exchange` and of its reply, in
// TCompactProtocol. Unsigned 64-bit values travel as i64 with the same bits.

namespace cpp peridotwheel.wire

struct MemberUpdate {
  1: required string id
  2: required i64 startId
  3: required i64 incarnation
  4: required string dataCentre
  5: required string peersAddress
  6: required i32 peersPort
  7: required string operatorsAddress
  8: required i32 operatorsPort
  9: required i32 state
}

struct ServerLeaving {
  1: required string id
  2: required i64 startId
}

struct Digest {
  1: required i64 configurationVersion
  2: required i64 snapshotVersion
}

struct ConfigurationText {
  1: required i64 version
  2: required string text
}

struct Exchange {
  1: required MemberUpdate sender
  2: required Digest digest
  3: required list<MemberUpdate> members
  4: required list<ServerLeaving> serversLeaving
  5: optional ConfigurationText configuration
  6: optional string shardMap
}
