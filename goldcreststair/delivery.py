"""What a TCP socket tells about the delivery of what was sent on it.

An answer without a length ends with its connection. While its request is not delivered, nothing shows that it is
whole: a server that fails ends the connection in the same way.
"""

import fcntl
import os
import socket
import struct
import termios
from typing import Final

LONG_REQUEST_BYTES: Final = 16 * 1024
"""A longer request may be in the server's kernel, unread, when its answer ends."""
RESET_WAIT_MS: Final = 100
"""How long a reset is waited for behind the end of such an answer: a server that closes a connection with unread bytes
resets it, at once or after it has closed its sending side."""


def count_queued(sock: socket.socket) -> int:
    """Return the number of bytes in a socket's send queue; raises `OSError`."""
    queued = fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack("i", 0))
    return int(struct.unpack("i", queued)[0])


def find_send_failure(sock: socket.socket) -> OSError | None:
    """Return why the peer does not have all that was sent, or None; raises `OSError`."""
    # A reset empties the send queue, so that the queue alone says nothing.
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        return OSError(error, os.strerror(error))
    return ConnectionError("ended before the request was delivered") if count_queued(sock) else None
