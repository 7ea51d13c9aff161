"""Interface through which an agent executes orders on its engine."""

import abc

from pollenthread.core import orders

__all__ = ['OrderExecutor', 'OrderOutcomeUnknownError']


class OrderOutcomeUnknownError(Exception):
    """The order may or may not have taken effect."""


class OrderExecutor(abc.ABC):
    """Executes orders of one or several kinds."""

    @abc.abstractmethod
    async def execute(self, order: orders.Order) -> orders.Result:
        """Executes an order once.

        Raises:
            OrderOutcomeUnknownError: the engine did not respond.
        """
