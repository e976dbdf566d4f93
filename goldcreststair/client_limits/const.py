"""Bounds on what the clients of a process may use together."""

from typing import Final

HELD_SHARE: Final = 5
"""All clients together may have the memory of the process divided by this held for them."""
SMALL_SHARE: Final = 8
"""This part of it, by division, is kept free for clients that hold little."""
SMALL_BYTES: Final = 64 * 1024
"""A client that holds at most this much holds little; most bodies are far smaller."""
JOB_SHARE: Final = 8
"""The items of accepted jobs may have the memory of the process divided by this."""
RECEIVE_BUFFER_BYTES: Final = 64 * 1024
"""Receive buffer of each connection, which limits what arrives before it is counted."""
STALL_MS: Final = 1_000
"""A client that has sent nothing, or accepted nothing, for this time stands still."""
CONNECTIONS_SHARE: Final = 8
"""The objects of all connections may take the memory of the process divided by this."""
CONNECTION_BYTES: Final = 16 * 1024
"""Memory of one idle connection."""
FILE_DESCRIPTORS: Final = 200
"""Descriptors of a process that are not sockets."""
SOCKETS_KEPT_SHARE: Final = 4
"""The process keeps the remaining descriptors, divided by this, for its own connections."""
MIN_CONNECTIONS: Final = 16
ACCEPTS_PER_STEP: Final = 128
"""Connections accepted before others are served."""
ACCEPT_PAUSE_MS: Final = 100
"""Pause in accepting after an error, such as a lack of descriptors."""
CHUNKS_PER_TURN: Final = 64
"""Chunks of a body that are decoded before other clients are served; ordinary bodies have fewer."""
FIELDS_PER_TURN: Final = 256
"""Header fields that are parsed before other clients are served; ordinary heads have fewer."""
MAX_HEADER_FIELDS: Final = 4096
"""As many as a head of 16 KB can have."""
MAX_WAITING_TURNS: Final = 32
"""Clients with many small chunks or header fields that may wait for each other."""
COLLECT_AFTER: Final = 32
"""Connections closed within a message before a garbage collection. Tornado's futures, errors and frames refer to
each other, and keep some 100 KB of each until then."""
MAX_UNKNOWN_BODY_BYTES: Final = 64 * 1024
"""Body of a client that has not shown a key; the refusal of a longer one may not reach it."""
MAX_ENDPOINT_BODY_BYTES: Final = 1024
"""Requests to endpoints have no body; a few bytes are read and ignored."""
MAX_ENDPOINT_HEADER_BYTES: Final = 16 * 1024
ENDPOINT_BUFFER_BYTES: Final = 64 * 1024
ENDPOINT_IDLE_S: Final = 60
ENDPOINT_BODY_S: Final = 5
