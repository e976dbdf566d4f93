// Messages between daemons about online requests.

/** An upstream met queueing at a VM's online work: batch there shall yield. */
struct YieldHint {
  1: required string upstream
  2: required i32 queue_ms
}
