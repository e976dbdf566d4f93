// Messages between daemons about what each decided.

/** Asks a VM for its journal's events about one thing. */
struct JournalQuery {
  /** One of the journal's subjects. */
  1: required string subject
  2: required string subject_id
}

struct JournalEvent {
  /** Seconds since 1970 by the VM's own clock. */
  1: required double at_utc_s
  2: required string choice
  3: required string reason
  /** The facts it rested on, as JSON. */
  4: required binary seen
}

struct JournalAnswer {
  1: required list<JournalEvent> events
}
