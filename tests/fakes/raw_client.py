"""Sockets of clients that send bytes unchanged and read when they want to."""

import socket

__all__ = ['connect']

_CONNECT_TIMEOUT_S = 5.0
# Larger segments on the loopback device would make windows count for little.
_SEGMENT_BYTES = 1460


def connect(address: str,
            *,
            receive_buffer_bytes: int | None = None) -> socket.socket:
    """Opens a connection for use with the `sock_` methods of an event loop.

    Args:
        address: `ip:port` of the server.
        receive_buffer_bytes: the size of the receive buffer; None for the
            default.

    Raises:
        OSError: no connection could be established.
    """
    host, _, port = address.rpartition(':')
    sock = socket.socket()
    try:
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                            receive_buffer_bytes)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG,
                            _SEGMENT_BYTES)
        sock.settimeout(_CONNECT_TIMEOUT_S)
        sock.connect((host, int(port)))
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock
