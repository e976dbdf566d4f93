// Frames between daemons: every frame is one Envelope.

/** How a frame is to be handled. */
enum FrameKind {
  HELLO = 1
  POST = 2
  REQUEST = 3
  ANSWER = 4
  REFUSED = 5
  HEARTBEAT = 6
}

/** One frame; the sessions at both ends are fixed for a link by its first frame, the Hello. */
struct Envelope {
  1: required FrameKind kind
  2: optional i32 number
  3: optional i64 correlation_id
  4: optional binary payload
}

/** First frame each way; an empty target stands for whichever daemon answers there. */
struct Hello {
  1: required string session_id
  2: required string target_session_id
}
