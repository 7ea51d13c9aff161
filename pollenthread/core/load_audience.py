"""Selects whose servers an entry host follows.

If every server told every entry host its load, the messages would grow with
hosts times servers. An entry host follows the servers of its own data centre,
and those of further ones only if its own has few.
"""

from collections.abc import Mapping

__all__ = ['followed_data_centres']

# With fewer servers, their load varies more than that of all servers together.
_MIN_FOLLOWED_SERVERS = 32


def followed_data_centres(
        own: str, server_count_by_data_centre: Mapping[str,
                                                       int]) -> frozenset[str]:
    """Returns the data centres whose servers a host follows.

    Further data centres are the next ones on the ring of sorted names, so that
    each is followed by equally many others.

    Args:
        own: the data centre of the host.
        server_count_by_data_centre: the number of servers of a service in each
            data centre, without those that get no requests.
    """
    others = sorted(server_count_by_data_centre.keys() - {own})
    ring = [
        own, *(d for d in others if d > own), *(d for d in others if d < own)
    ]
    followed = []
    servers = 0
    for data_centre in ring:
        followed.append(data_centre)
        servers += server_count_by_data_centre.get(data_centre, 0)
        if servers >= _MIN_FOLLOWED_SERVERS:
            break
    return frozenset(followed)
