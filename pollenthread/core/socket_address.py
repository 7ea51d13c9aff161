"""Socket addresses as text, in the form `ip:port`."""

import ipaddress

__all__ = ['is_socket_address']

_MAX_PORT = 65_535


def is_socket_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address with a port.

    Host names are none: resolving them would block the process.
    """
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdecimal() and
            0 < int(port[:len(str(_MAX_PORT)) + 1]) <= _MAX_PORT):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
