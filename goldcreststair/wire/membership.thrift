// Messages between daemons about who is part of the fleet.

/** One daemon's session, or its end. */
struct MemberRecord {
  1: required string session_id
  2: required i32 version
  3: required bool gone
  4: optional string address
  5: optional i32 http_port
  6: optional i32 peer_port
  7: optional string data_centre
  8: optional string region
  9: optional string state
  10: optional i32 slot
}

/** One item of a shared set; its remaining lifetime in ms, 0 for ever. */
struct SetItem {
  1: required string set_name
  2: required string item
  3: required i64 lifetime_ms
}

/** Online requests in flight at the member that holds a slot; a higher round is newer. */
struct LoadEntry {
  1: required i32 slot
  2: required i32 in_flight
  3: required i32 round
}

/** What a daemon newly knows, and a summary of all it knows. */
struct Gossip {
  1: required i64 configuration_version
  2: required i64 member_digest
  3: required i64 item_digest
  4: optional list<MemberRecord> members
  5: optional list<SetItem> items
  6: optional list<LoadEntry> loads
}

/** 4: asks whether a session's process has ended, as far as the asked daemon can see. */
struct ProbeAsk {
  1: required string session_id
}

/** 5: the answer. */
struct ProbeAnswer {
  1: required bool gone
}

/** Asks for everything the other side knows, from an offset on. */
struct FetchAll {
  1: required i32 offset
}

/** One page of everything. */
struct Everything {
  1: required i64 configuration_version
  2: required list<MemberRecord> members
  3: required list<SetItem> items
  4: required i32 next_offset
}
