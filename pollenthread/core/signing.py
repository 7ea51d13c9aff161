"""Signatures of orders, for agents whose upstreams do not authenticate."""

import dataclasses
import hashlib
import hmac

from pollenthread.core import messages, orders

__all__ = ['KeyRing', 'SigningKey']

_DIGEST = hashlib.sha256


@dataclasses.dataclass(frozen=True)
class SigningKey:
    """A shared signing key.

    Attributes:
        id: the key id, sent with each signature.
        secret: the secret key.
    """

    id: str
    secret: bytes


@dataclasses.dataclass(frozen=True)
class KeyRing:
    """The currently valid keys; the first one signs.

    To rotate a key, the new key is first added after the old one on all hosts,
    then moved to the front, and finally the old key is removed.
    """

    keys: tuple[SigningKey, ...] = ()

    def sign(self, order: orders.Order) -> messages.OrderSend:
        """Returns the signed order; the signature is empty without keys."""
        if not self.keys:
            return _message(order, '', b'')
        key = self.keys[0]
        return _message(order, key.id, _signature(order, key))

    def verify(self, message: messages.OrderSend) -> orders.Order | None:
        """Returns the order, or None if no valid key has signed it."""
        order = order_from_message(message)
        for key in self.keys:
            if key.id == message.key_id and hmac.compare_digest(
                    _signature(order, key), message.signature):
                return order
        return None


def order_from_message(message: messages.OrderSend) -> orders.Order:
    """Returns the order in a message, without verifying the signature."""
    names = (field.name for field in dataclasses.fields(orders.Order))
    return orders.Order(**{name: getattr(message, name) for name in names})


def _message(order: orders.Order, key_id: str,
             signature: bytes) -> messages.OrderSend:
    fields = {
        field.name: getattr(order, field.name)
        for field in dataclasses.fields(order)
    }
    return messages.OrderSend(**fields, key_id=key_id, signature=signature)


def _signature(order: orders.Order, key: SigningKey) -> bytes:
    parts = [key.id]
    parts.extend(
        str(getattr(order, field.name)) for field in dataclasses.fields(order))
    framed = b''.join(
        len(part.encode()).to_bytes(4, 'big') + part.encode() for part in parts)
    return hmac.digest(key.secret, framed, _DIGEST)
