"""Hooks of behave that open and close an event loop per scenario."""

from typing import Any

from tests import scenario

__all__ = ['after_scenario', 'before_scenario']


def before_scenario(context: Any, _: Any) -> None:
    """Opens the event loop."""
    scenario.open_loop(context)


def after_scenario(context: Any, _: Any) -> None:
    """Stops what the scenario started and closes the event loop."""
    scenario.close(context)
