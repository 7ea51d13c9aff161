"""Signatures of orders, for agents whose upstreams check nobody."""

import dataclasses
import hashlib
import hmac

from pollenthread.core import messages, orders

__all__ = ['SigningKey', 'KeyRing']

_DIGEST = hashlib.sha256


@dataclasses.dataclass(frozen=True)
class SigningKey:
    """One shared key.

    Attributes:
        id: its name, which travels with what it signs.
        secret: the key itself.
    """

    id: str
    secret: bytes


@dataclasses.dataclass(frozen=True)
class KeyRing:
    """The keys that are valid now; the first one signs.

    While a key is replaced two are valid: the new one is added behind the old
    one everywhere, then moved to the front, then the old one is taken away.
    """

    keys: tuple[SigningKey, ...] = ()

    def sign(self, order: orders.Order) -> messages.OrderSend:
        """Signs an order; without keys the signature is empty."""
        if not self.keys:
            return _message(order, '', b'')
        key = self.keys[0]
        return _message(order, key.id, _signature(order, key))

    def verify(self, message: messages.OrderSend) -> orders.Order | None:
        """The order, or None when no valid key has signed it."""
        order = order_from_message(message)
        for key in self.keys:
            if key.id == message.key_id and hmac.compare_digest(
                    _signature(order, key), message.signature):
                return order
        return None


def order_from_message(message: messages.OrderSend) -> orders.Order:
    """The order that a message carries, whoever signed it."""
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
