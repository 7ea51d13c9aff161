"""Decodes rows by which the platform's operator empties a data centre."""

__all__ = ['decode_key']

# The rest of the key is the data centre, which the platform calls a "zone".
_KEY_PREFIX = 'evacuate/'


def decode_key(key: str) -> str | None:
    """Returns the data centre that a row empties, or None for other rows.

    The row itself is the request, whatever its value is.

    Args:
        key: the key of a row of the operator's table.
    """
    if not key.startswith(_KEY_PREFIX):
        return None
    return key.removeprefix(_KEY_PREFIX) or None
