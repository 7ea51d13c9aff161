"""What carries an order out beside an agent."""

import abc

from pollenthread.core import orders

__all__ = ['OrderExecutor', 'OrderOutcomeUnknownError']


class OrderOutcomeUnknownError(Exception):
    """The order may or may not have taken effect."""


class OrderExecutor(abc.ABC):
    """Carries out orders of one kind or of several."""

    @abc.abstractmethod
    async def execute(self, order: orders.Order) -> orders.Result:
        """Carries an order out once.

        Raises:
            OrderOutcomeUnknown: the engine did not answer.
        """
