// Messages between daemons about online requests.

/** An upstream met queueing at a VM's online work: batch there shall yield. */
struct YieldHint {
  1: required string upstream
  2: required i32 queue_ms
  /** Requests of the sender in flight there; left out by a sender that does not count them. */
  3: optional i32 in_flight
}
