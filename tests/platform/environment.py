"""Starts one event loop for each scenario."""

from typing import Any

from tests import scenario

__all__ = ['after_scenario', 'before_scenario']


def before_scenario(context: Any, _: Any) -> None:
    """Opens the loop."""
    scenario.open_loop(context)


def after_scenario(context: Any, _: Any) -> None:
    """Stops the system."""
    scenario.close(context)
