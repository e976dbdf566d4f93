// Messages between gateway daemons, and what they keep in the store about themselves.

/** Runs of one daemon at one upstream, by a hash of its name. */
struct UpstreamRuns {
  1: required i32 upstream
  2: required i32 online
  3: required i32 batch
  4: optional i32 late
  /** Prompt and expected output tokens of these runs; left out where upstreams' memory is not budgeted. */
  5: optional i32 tokens
}

/** How long work takes at one upstream, by a hash of its name. */
struct UpstreamPace {
  1: required i32 upstream
  /** 100 is usual, 200 twice as long. */
  2: required i32 percent
  /** How long ago the figure was reported. */
  3: required i32 age_ms
}

/** Results of the recent requests at one upstream, by a hash of its name. */
struct UpstreamOutcomes {
  1: required i32 upstream
  2: required i32 succeeded
  3: required i32 failed
}

/** Requests of one priority that wait for a slot of one service of upstreams, by a hash of its name. */
struct WaitingRequests {
  1: required i32 upstream_service
  2: required i32 priority
  3: required i32 count
}

/** Requests of one customer that one daemon has admitted since it started, by a hash of its name. */
struct CustomerCount {
  1: required i32 customer
  2: required i64 admitted
  3: optional i32 level
}

/** How long the answers of one route's items are, and how fast they come, by a hash of its name. */
struct WorkPace {
  1: required i32 route
  2: required double events_per_token
  3: required double event_ms
}

/** Streams that one software version of one service has begun, as the sender relayed them. */
struct OriginatedStreams {
  /** Hash of the service and the software version. */
  1: required i32 origin
  /** Hashes of the streams, 8 bytes each. */
  2: required binary streams
}

/** What one daemon ran at an upstream when it crashed. */
struct LostRuns {
  /** Hash of the crash, the same for all daemons that saw it. */
  1: required binary crash
  /** Hash of the upstream's service and software version. */
  2: required i32 software
  /** Hashes of prompt parts and whole requests, 8 bytes each, whose runs had not returned anything. */
  3: required binary suspects
  4: required i32 age_ms
  /** The same of those whose runs all had. */
  5: optional binary begun
  /** Number of other upstreams of the service that the daemon used at that moment. */
  6: optional i32 others
  /** Those of all suspects that it ran at some of these, and at how many. */
  7: optional binary elsewhere
  8: optional list<i32> elsewhere_counts
  /** How far the longest run of each of `begun` had got: ms, and events. */
  9: optional list<i32> begun_ms
  10: optional list<i32> begun_events
}

/** Prompt parts and whole requests that were at several crashes, and that upstreams have answered. */
struct AnsweredSuspects {
  /** Hash of the upstreams' service and software version. */
  1: required i32 software
  /** Hashes, 8 bytes each. */
  2: required binary suspects
  /** Time since an answer on each of them was last written, ms. */
  3: required list<i32> ages_ms
  /** How far these answers have got, ms and events; -1 for a whole one, left out if all are whole. */
  4: optional list<i32> wrote_ms
  5: optional list<i32> events
}

/** What a daemon says of itself to others, whole in each datagram. */
struct Beacon {
  1: required string session
  2: required i64 sequence
  3: required i32 state
  4: required i64 catalogue_version
  5: optional list<UpstreamRuns> runs
  6: optional list<CustomerCount> admitted
  7: optional list<i32> suspects
  8: optional i32 batch_waiting
  9: optional bool store_away
  /** Newest verdicts on requests: fingerprints, or hashes of prompt parts, in hexadecimal; joined by + where
   * requests with all of them are refused. */
  10: optional list<string> refused
  /** Which daemons it hears, itself included; one number, equal for equal sets. */
  11: optional i32 hears
  12: optional list<WorkPace> paces
  /** Whether its sender takes the digests of the daemon it goes to. */
  13: optional bool follows
  /** Whether it needs a whole one, as it has none of this relay yet. */
  14: optional bool needs_whole
  /** Version of the store at which `evacuated` came to hold; left out until the first evacuation. */
  15: optional i64 evacuation_version
  /** Data centres whose upstreams get no new work. */
  16: optional list<string> evacuated
  17: optional list<UpstreamPace> upstream_paces
  18: optional list<UpstreamOutcomes> outcomes
  19: optional list<WaitingRequests> waiting
  /** Streams that were begun of late, while upstreams of several software versions serve. */
  20: optional list<OriginatedStreams> origins
  /** Crashes of late. */
  21: optional list<LostRuns> crashes
  22: optional list<AnsweredSuspects> answered
  /** Suspects whose verdicts were released, 8 bytes each. */
  25: optional binary released
  /** Suspects of several crashes that run now, 8 bytes each. */
  23: optional binary probing
  /** Hash of all verdicts; left out if there are none. */
  24: optional i32 verdicts
  /** For how long its sender has run, ms; left out once that is longer than others ask for. */
  26: optional i32 up_ms
}

/** Batch runs of one daemon at one upstream, both by a hash of their names. */
struct BatchRuns {
  1: required i32 upstream
  2: required i32 daemon
  3: required i32 batch
  4: optional i32 late
}

/** One daemon that a relay hears, or knows to be lost, by a hash of its session. */
struct HeardDaemon {
  1: required i32 daemon
  2: required i32 state
  3: optional bool store_away
  /** It has shown no sign of life for so long, in the store either, ms. */
  4: optional i32 lost_ms
  /** Its data centre has not spoken for some time: it counts as heard, but its part of quotas is its own. */
  5: optional bool quiet
}

/** What the daemons of one data centre, or of the whole fleet, say together; see `fleet/digests.py`. */
struct Digest {
  /** Session of the relay that made it. */
  1: required string relay
  2: required i64 sequence
  /** The newest that any of them has in force. */
  3: required i64 catalogue_version
  /** The data centre it speaks for; empty for the whole fleet. */
  4: required string data_centre
  5: optional list<UpstreamRuns> runs
  6: optional list<BatchRuns> batch
  7: optional list<CustomerCount> admitted
  8: optional list<i32> suspects
  9: optional i32 batch_waiting
  10: optional list<string> refused
  11: optional list<WorkPace> paces
  /** Only now and then; in between the last one holds. */
  12: optional list<HeardDaemon> heard
  /** Whether every counter and every daemon is in it, and not only what changed of late. */
  13: optional bool whole
  /** Session of a daemon that has `catalogue_version` in force. */
  14: optional string newest_at
  /** As in a beacon; the newest that any daemon knows. */
  15: optional i64 evacuation_version
  16: optional list<string> evacuated
  /** As in a beacon; the youngest figure of each upstream. */
  17: optional list<UpstreamPace> upstream_paces
  /** As in a beacon; the sums. */
  18: optional list<UpstreamOutcomes> outcomes
  19: optional list<WaitingRequests> waiting
  /** As in a beacon, of all daemons; the newest crashes. */
  20: optional list<LostRuns> crashes
  21: optional list<AnsweredSuspects> answered
  24: optional binary released
  22: optional binary probing
  /** Hash of the relay's own verdicts. */
  23: optional i32 verdicts
  /** How late the counters in it had arrived at relays, ms; 0 if left out. */
  25: optional i32 lag_ms
}

/** A daemon's session as it stands in the store. */
struct SessionRow {
  1: required string session
  2: required string address
  3: required i32 peer_port
  4: required string front_address
  5: required string data_centre
  6: required string region
}

/** Asks a daemon for its catalogue, if it has a newer one. */
struct CatalogueAsk {
  1: required i64 version
}

/** A catalogue's document; empty if there is none newer. */
struct CatalogueDocument {
  1: required i64 version
  2: required binary document
}

/** A batch job as it was accepted; never changes but for `ended`. */
struct JobRow {
  1: required string job
  2: required string route_host
  3: required string route_prefix
  4: required i32 items
  5: required i64 submitted_at
  6: required string body_object
  7: required bool ended
  8: required i64 waiting_ms
}

/** A batch job that is not finished: who runs it and how far it is. */
struct OpenRow {
  1: required string job
  2: required string owner
  3: required string commit
  4: required i32 listed
  5: required i64 waiting_tokens
  6: required string route
  7: required list<i16> failures
  8: optional list<string> customer_regions
}

/** One listed result, or the first part of a long one. */
struct ResultRow {
  1: required string item
  2: required bool done
  3: required binary text
  4: required i16 parts
}

/** What an item that is not listed has brought so far: whole events from the first one on. */
struct ProgressRow {
  1: required i32 last_event
  2: required binary text
  /** Service and software version of the upstreams that made it; left out by earlier daemons. */
  3: optional string upstream_service
  4: optional string software_version
}

/** One software version of a service's upstreams. */
struct SoftwareVersion {
  1: required string version
  /** Whether an upstream of it was listed when the row was written. */
  2: required bool listed
  /** When one was last listed, on the store's clock, ms. */
  3: required i64 last_listed_at
}

/** The software versions that the upstreams of one service have had of late. */
struct SoftwareRow {
  1: required list<SoftwareVersion> versions
}

/** Asks a daemon which software began a stream, by the stream's hash. */
struct OriginAsk {
  1: required binary stream
}

/** Hash of the service and software version; left out if the daemon does not know. */
struct OriginReply {
  1: optional i32 origin
}

/** All verdicts of a daemon: hashes in hexadecimal, joined by +, and how long each one still holds, ms. */
struct CrashVerdicts {
  1: required map<string, i64> left_ms
}

/** One item of a job as its caller sent it. */
struct ItemBody {
  1: required string item
  2: required string path
  3: required map<string, string> headers
  4: required binary body
  5: required i64 tokens
}

/** All items of a job, in their order; the content of its object. */
struct JobBodies {
  1: required list<ItemBody> items
}

/** Tells a daemon that a job is its own now, or has ended. */
struct JobNotice {
  1: required string customer
  2: required string job
}

/** Asks a daemon to give up one batch run at an upstream, by a hash of its name. */
struct YieldNotice {
  1: required i32 upstream
}

/** What a daemon that the store turns away asks another one to do with a job. */
enum JobVerb {
  SUBMIT = 1
  READ = 2
  BODY = 3
  END = 4
}

/** A call about a job, passed on for its caller. */
struct JobCall {
  1: required JobVerb verb
  2: required string customer
  3: required string job
  4: optional string route_host
  5: optional string route_prefix
  6: optional string route
  7: optional binary items
  8: optional i64 max_wait_ms
  9: optional i64 max_waiting_tokens
  10: optional i32 position
  11: optional i32 wait_ms
  12: optional string item
  13: optional list<string> customer_regions
}

/** The answer to a call about a job; `problem` is empty if it succeeded. */
struct JobReply {
  1: required string problem
  2: required string message
  3: optional i32 total
  4: optional list<ResultRow> results
  5: optional binary body
}
