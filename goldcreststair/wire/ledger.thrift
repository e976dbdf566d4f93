// Rows and objects of the ledger, and messages between daemons about claims.

/** One record set; removed where `value` is absent. */
struct RecordChange {
  1: required string key
  2: optional binary value
}

/** The content of a segment or snapshot object. */
struct ChangeList {
  1: required list<RecordChange> changes
}

/** The head row of a partition: snapshot, then segments, then tail give its records. */
struct HeadRow {
  1: required string owner
  2: required i64 epoch
  3: required i64 sequence
  4: required string commit_id
  5: required list<RecordChange> tail
  6: required list<string> segments
  7: required string snapshot
  8: required i64 claim_sequence
  9: required list<string> garbage
}

/** 44: a partition was released; the head row and its version, for a claim without a read. */
struct Released {
  1: required i32 partition
  2: required i64 version
  3: required binary head
}

/** A claim as its partition's record. */
struct ClaimRecord {
  1: required string fingerprint
  2: required string request_id
  3: required bool repeatable
  4: required string runner
  5: required string claim_id
  6: required i32 state
  7: required i64 tick
  8: optional OutcomeData outcome
}

/** A final answer; a large body is in an object. */
struct OutcomeData {
  1: required i32 status
  2: required string content_type
  3: optional binary body
  4: optional string body_object
}

/** Asks the owner of a key's partition for a claim. */
struct ClaimMessage {
  1: required string customer
  2: required string key
  3: required string fingerprint
  4: required string request_id
  5: required bool repeatable
  6: required i32 timeout_ms
}

/** Ends a claim: settled with an outcome, released or abandoned. */
struct SettleMessage {
  1: required string customer
  2: required string key
  3: required string claim_id
  4: required string request_id
  5: required i32 ending
  6: required i32 timeout_ms
  7: optional OutcomeData outcome
}

/** Waits for the outcome of a run that was joined. */
struct WaitMessage {
  1: required string customer
  2: required string key
  3: required string fingerprint
  4: required i32 timeout_ms
}

/** Answers each of the messages above. */
struct ClaimAnswer {
  1: required i32 code
  2: required string text
  3: required string claim_id
  4: required string session
  5: optional OutcomeData outcome
}
