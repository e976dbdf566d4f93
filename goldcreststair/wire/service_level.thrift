// Messages between daemons about service levels.

/** How one objective fared since the last report. */
struct ObjectiveCounts {
  1: required string objective
  2: required i64 good
  3: required i64 total
}

/** One VM's counts of one customer, to the owner of the customer's partition. */
struct LevelReport {
  1: required string customer
  /** Grows by one a report; the owner ignores one it has counted. */
  2: required i64 sequence
  3: required list<ObjectiveCounts> counts
  /** Histogram of times to first token in ms, encoded by hdrhistogram. */
  4: required binary histogram
}

/** Whether the report is counted; if not, the sender keeps it and tries again. */
struct LevelReportAnswer {
  1: required bool counted
}

/** Asks a customer's owner for its levels. */
struct LevelQuery {
  1: required string customer
}

/** The customer's levels as JSON, or empty if the VM asked does not own them. */
struct LevelQueryAnswer {
  1: required bool owned
  2: required binary levels
}
