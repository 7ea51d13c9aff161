"""Steps for pages that are worked out or generated."""

import pathlib
import subprocess
import sys
from typing import Any

from behave import then

_ROOT = pathlib.Path(__file__).resolve().parents[3]


def _run(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, '-m', *args],
                          cwd=_ROOT,
                          capture_output=True,
                          text=True,
                          check=False,
                          timeout=60)


@then('the page of capacity is what its formulas give')
def step_capacity(_: Any) -> None:
    done = _run('bench.capacity', '--check')
    assert done.returncode == 0, done.stderr
