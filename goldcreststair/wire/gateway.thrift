// Messages between gateway daemons, and what they keep in the store about themselves.

/** Runs of one daemon at one upstream, by a hash of its name. */
struct UpstreamRuns {
  1: required i32 upstream
  2: required i32 online
  3: required i32 batch
}

/** Requests of one customer that one daemon has admitted since it started, by a hash of its name. */
struct CustomerCount {
  1: required i32 customer
  2: required i64 admitted
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
