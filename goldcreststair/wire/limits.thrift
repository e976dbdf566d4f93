// Messages between daemons about limits: numbers 20-39.

/** What became of one lot of lent tokens; counts are totals, so a repeated report does no harm. */
struct LotReport {
  1: required i64 number
  2: required i32 spent
  3: required bool finished
}

/** 20: asks a customer's home for tokens and reports on earlier lots. */
struct TokenAsk {
  1: required string customer
  2: required i64 number
  3: required i32 want
  4: required list<LotReport> reports
}

/** 21: the answer; the lot carries the number of the ask. */
struct TokenGrant {
  1: required bool home
  2: required i32 granted
  3: required i32 retry_after_ms
  /** Session believed to be the home, where the answering one is not. */
  4: optional string owner
}

/** 22: a partition has a new owner; rights from older epochs end here. */
struct Renounce {
  1: required i32 partition
  2: required i64 epoch
}

struct HeldLot {
  1: required string session_id
  2: required i64 number
  3: required i32 amount
  4: required i32 spent
  5: required i32 remaining_ms
}

struct HeldBucket {
  1: required string customer
  2: required double level
  3: required list<HeldLot> lots
}

/** 23: the promise, and the buckets if the sender was the home in `held_epoch` (else -1). */
struct Renounced {
  1: required i64 held_epoch
  2: required list<HeldBucket> buckets
  /** Whether a customer without a bucket has spent nothing. */
  3: optional bool starts_full
}

/** 24: a home without the store asks a supporter to extend its right. */
struct SupportAsk {
  1: required i32 partition
  2: required i64 epoch
}

/** 25: whether no newer epoch is known here. */
struct Supported {
  1: required bool granted
}
