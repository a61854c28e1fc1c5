// Messages between entry instances, in TCompactProtocol. Unsigned 64-bit values are sent as i64
// with the same bits.

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

// The body of `POST /peer/exchange` and of its reply.
struct Exchange {
  1: required MemberUpdate sender
  2: required Digest digest
  3: required list<MemberUpdate> members
  4: required list<ServerLeaving> serversLeaving
  5: optional ConfigurationText configuration
  6: optional string shardMap
}

// The body of `POST /peer/query`: a part of a query that the originating instance sends to an
// instance that holds connections to the servers of this part. Durations are in microseconds,
// measured at the time of sending.
struct RelayQuery {
  1: required string origin
  2: required i64 originStartId
  3: required i64 relayId
  4: required string requestId
  5: required string className
  6: required i32 rank
  7: required double quantile
  8: required double coverageTarget
  9: required i64 latencyTargetUs
  10: required i64 sinceArrivalUs
  11: required i64 remainingUs
  12: required bool repeatable
  13: optional i64 indexVersion
  14: required list<i32> shards
  15: required list<string> plainServices
  16: required string text
  17: optional i64 issuedAtMs
}

struct RelayResult {
  1: required i32 shard
  2: required string json
}

// The reply to a RelayQuery. Plain services are numbered as shards from 2^31 on, in their order in
// the query.
struct RelayAnswer {
  1: required i64 relayId
  2: required i32 kind
  3: required i32 ran
  4: optional i64 indexVersion
  5: required list<RelayResult> results
  6: required list<i32> missing
  7: required list<i32> notOwned
  8: required bool versionLost
  9: required string detail
}

// The body of `POST /peer/cancel`: the origin no longer needs the answer to a RelayQuery.
struct RelayCancel {
  1: required string origin
  2: required i64 originStartId
  3: required i64 relayId
}

// The body of `POST /peer/view`: the versions that the sender has, so that the reply contains only
// newer objects.
struct ViewRequest {
  1: required i64 configurationVersion
  2: required i64 serversAt
  3: required i64 instancesAt
  // Address, as IP:PORT, at which the sender itself answers such requests.
  4: optional string askerAt
  // Set only by instances of the same data centre, which request hints in the reply.
  5: optional list<ServerReport> reports
  // Set if the sender fetches configurations by ConfigurationRequest, so that the reply need not
  // contain one.
  6: optional bool fetchesConfiguration
  // Set if the sender reads compressed lists.
  7: optional bool readsCompressedLists
  // Eras of the store to which `serversAt` and `instancesAt` belong. An era that is absent is 0,
  // here and below: earlier versions of the program send none, and so do those whose store states
  // none.
  8: optional i64 serversEra
  9: optional i64 instancesEra
  // Revision at which the store took the sender's own entry in the list of instances.
  10: optional i64 registeredAt
  11: optional i64 registeredEra
}

// Measurements of one server by one instance since its last report.
struct ServerReport {
  1: required string server
  2: required i32 replies
  3: required i32 slowReplies
  4: required i32 failures
  // Sum over the replies of the ratio of the service time to the typical one, in thousandths.
  5: required i32 slownessSumPermille
  // Requests a second that the server accepts from all instances together, if it named a limit.
  6: optional double limitPerSecond
}

// Unusual slowness and error rate of a server, aggregated from the reports of several instances, in
// thousandths.
struct ServerHint {
  1: required string server
  2: required i32 slownessPermille
  3: required i32 errorPermille
  4: optional double limitPerSecond
}

// An object of the platform's store, as read by an instance.
struct ViewObject {
  1: required string name
  2: required i64 version
  3: required string value
  4: optional i64 era
}

struct ViewObjects {
  1: required list<ViewObject> objects
}

// A ViewObjects in TCompactProtocol, compressed with zlib, and its size before.
struct CompressedObjects {
  1: required binary data
  2: required i32 textBytes
}

// The reply to a ViewRequest. It contains either all instances or none.
struct ViewReply {
  1: optional ViewObject configuration
  2: optional i64 serversAt
  3: required list<ViewObject> servers
  // Milliseconds since this view was read from the store.
  4: required i64 ageMs
  5: optional i64 instancesAt
  6: required list<ViewObject> instances
  // Milliseconds for which the entries of missing servers may only have expired during an outage of
  // the store; afterwards these servers count as removed.
  7: required i64 missingForMs
  8: optional list<ServerHint> hints
  // Set if `servers` and `goneServers` contain only the servers that changed or were removed after
  // this revision.
  9: optional i64 serversSince
  10: optional list<string> goneServers
  // Version of the configuration in force at the sender.
  11: optional i64 configurationVersion
  // In place of `servers` and `instances`.
  12: optional CompressedObjects compressedServers
  13: optional CompressedObjects compressedInstances
  // Revision at which the evacuated data centres were read, and their names. Absent where operators
  // evacuate none, and from earlier versions of the program.
  14: optional i64 evacuationsAt
  15: optional list<string> evacuated
  // Eras of the store to which `serversAt` and `serversSince`, `instancesAt`, and `evacuationsAt`
  // belong.
  16: optional i64 serversEra
  17: optional i64 instancesEra
  18: optional i64 evacuationsEra
}

// The body of `POST /peer/configuration`: requests one chunk of the newest configuration, which is
// compressed with zlib.
struct ConfigurationRequest {
  // Version that the sender has; the reply is empty unless there is a newer one.
  1: required i64 knownVersion
  // Document of which the sender has the first `offset` bytes; a checksum of 0 stands for none.
  2: required i64 documentChecksum
  3: required i32 offset
  // Address, as IP:PORT, at which the sender itself answers such requests.
  4: required string askerAt
}

// The reply to a ConfigurationRequest.
struct ConfigurationReply {
  1: required i64 version
  // Name and revision of the object in the platform's store.
  2: required string name
  3: required i64 revision
  // Size of the document's text, and size and checksum of its compressed form.
  4: required i32 textBytes
  5: required i32 documentBytes
  6: required i64 documentChecksum
  // Chunk of the compressed form at `offset`; empty if the sender has no bandwidth to spare.
  7: required i32 offset
  8: required binary chunk
  // Addresses, as IP:PORT, of other instances that have this version.
  9: required list<string> holders
  // Era of the store to which `revision` belongs.
  10: optional i64 era
}

// What the sender has of the tokens of one team.
struct AllotmentReport {
  1: required string team
  // Tokens that the sender has used since its start, from any owner.
  2: required i64 used
  // Valid tokens that it has not used.
  3: required i32 unused
  // Further tokens for requests that wait.
  4: required i32 waiting
  // Further tokens in advance.
  5: required i32 inAdvance
}

// What the owner of a team knows about the tokens of one instance.
struct AllotmentHolder {
  1: required string instance
  2: required i64 process
  3: required i64 sequence
  4: required i64 used
  5: required i32 unused
  6: required i32 presumedUsed
  // Microseconds until the tokens expire.
  7: required i64 expiryInUs
}

// The bucket of a team, which moves from one owner to the next.
struct AllotmentBucket {
  1: required string team
  // Distinguishes the buckets that a team had one after the other.
  2: required i64 id
  3: required double level
  4: required list<AllotmentHolder> holders
}

// The body of `POST /peer/allotments`, sent to the owner of the teams. An owner ignores a message
// whose sequence is not above that of the last one of the same process.
struct AllotmentRequest {
  1: required string sender
  // Random number of the sender's process.
  2: required i64 process
  3: required i64 sequence
  4: required list<AllotmentReport> reports
  // Address at which the sender answers such messages.
  5: optional string address
  // Teams whose buckets the sender claims, and whether the receiver must drop its tokens of them,
  // because the sender begins new buckets once all instances have answered.
  6: optional list<string> claims
  7: optional bool isFinalClaim
  // Instances whose processes have ended as the sender found.
  8: optional list<string> ended
  // Buckets that the sender hands over because it ends.
  9: optional list<AllotmentBucket> handedOver
  // Version of the sender's configuration.
  10: optional i64 version
  // Position of the store at which the sender's list of instances was read.
  11: optional i64 listedAt
  12: optional i64 listedEra
}

struct AllotmentGrant {
  1: required string team
  2: required i32 tokens
  // Set if the allotment is used up: microseconds until it has capacity.
  3: optional i64 capacityInUs
  // Whether the replying instance keeps the bucket of the team.
  4: required bool isOwner
  // The bucket that the tokens are from.
  5: optional i64 bucket
  // The instance that keeps the bucket, as far as the replying instance knows, and its address.
  6: optional string owner
  7: optional string ownerAddress
}

// The answer to a claim, or to a bucket that was handed over.
struct AllotmentClaimAnswer {
  1: required string team
  // 0: the replying instance keeps no bucket of the team and will not begin one, or it accepts the
  // bucket; 1: it hands the bucket over; 2: another instance goes before the sender; 3: it cannot
  // tell yet.
  2: required i32 outcome
  // With outcome 1.
  3: optional AllotmentBucket bucket
  // With outcome 2; otherwise the instance that was known as the owner, if any.
  4: optional string owner
  5: optional string ownerAddress
}

// The reply to an AllotmentRequest, with a grant for each of its reports and an answer for each of
// its claims and buckets.
struct AllotmentReply {
  1: required list<AllotmentGrant> grants
  2: optional list<AllotmentClaimAnswer> answers
  // Version of the replying instance's configuration.
  3: optional i64 version
}
