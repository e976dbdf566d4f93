// Messages between daemons about batch jobs.

enum ReplyStatus {
  OK = 0
  NOT_OWNER = 1
  MISSING = 2
  REFUSED = 3
  UNKNOWN = 4
}

/** Answer of a partition's owner; `owner` is the believed one with NOT_OWNER. */
struct Reply {
  1: required ReplyStatus status
  2: optional string owner
  3: optional binary value
}

/** Commit a record unless it exists; the answer holds the record that stands. */
struct RecordPut {
  1: required string partition_key
  2: required string key
  3: required binary value
}

struct RecordGet {
  1: required string partition_key
  2: required string key
}

/** All records of a partition under a prefix, after a key, at most `limit`. */
struct RecordList {
  1: required string partition_key
  2: required string prefix
  3: required string after
  4: required i32 limit
}


/** The states of some chunks of a job, counted by their owner. */
struct ChunksGet {
  1: required string job
  2: required string fingerprint
  3: required list<i32> numbers
}

/** Items by state letter, in the order of `letters`; `left` are the chunks not owned here. */
struct ChunksCount {
  1: required string letters
  2: required list<i64> counts
  3: required list<i32> left
}

struct JobCancel {
  1: required string job
}

/** A hint that a job's record changed: chunk owners read it again. */
struct JobChanged {
  1: required string job
}

/** Undone items of a model at the sender. */
struct BacklogAdvert {
  1: required string model
  2: required i32 items
}

struct LotRequest {
  1: required string model
  2: required i32 limit
  3: required bool suspect_wanted
}

struct LotItem {
  1: required string chunk
  2: required i32 index
  3: required string request_id
  4: required string path
  5: required binary body
  6: required bool suspect
}

struct Lot {
  1: required list<LotItem> items
  2: required i32 lease_ms
}

/** The holder of these items lives and still works on them. */
struct LotRenewal {
  1: required string chunk
  2: required list<i32> indexes
}

enum Verdict {
  DONE = 0
  REJECTED = 1
  FAILED = 2
  CRASHED = 3
  BYSTANDER = 4
  NOT_RUN = 5
}

struct ItemResult {
  1: required i32 index
  2: required Verdict verdict
  3: required i32 status
  4: required binary body
}

struct LotResult {
  1: required string chunk
  2: required list<ItemResult> results
}

/** Stop running these items: their job was cancelled. */
struct LotStop {
  1: required string chunk
}
