"""Runs every feature with behave and counts scenarios.

Scenarios that KNOWN-RED.txt names are passed over and printed. Each line of
that file which begins with `scenario:` names one, as `scenario: FEATURE: NAME`.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from typing import Any

__all__: list[str] = []

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_KNOWN_PREFIX = 'scenario: '
_FEATURE_TIMEOUT_S = 900
_DEFAULT_JOBS = max(1, (os.cpu_count() or 2) // 2)


@dataclasses.dataclass
class _Count:
    """Scenarios by result."""

    passed: int = 0
    failed: int = 0
    known_red: list[str] = dataclasses.field(default_factory=list)


def _known_red() -> set[str]:
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text('utf-8').splitlines()
    return {
        line[len(_KNOWN_PREFIX):].strip()
        for line in lines
        if line.startswith(_KNOWN_PREFIX)
    }


def _features(paths: Sequence[str]) -> list[pathlib.Path]:
    if paths:
        return [pathlib.Path(path) for path in paths]
    return sorted((_ROOT / 'tests').glob('*/*.feature'))


def _run(feature: pathlib.Path) -> tuple[list[dict[str, Any]], str]:
    """Runs one feature.

    Returns:
        behave's JSON report, and its output for people.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / 'report.json'
        command = [
            sys.executable, '-m', 'behave', '--no-color', '--format', 'plain',
            '--format', 'json', '--outfile', '/dev/stdout', '--outfile',
            str(report), '--no-skipped',
            str(feature)
        ]
        environment = {**os.environ, 'PYTHONPATH': str(_ROOT)}
        try:
            done = subprocess.run(command,
                                  cwd=_ROOT,
                                  env=environment,
                                  capture_output=True,
                                  text=True,
                                  check=False,
                                  timeout=_FEATURE_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            return [], f'{feature}: timed out\n{error.stdout!r}'
        text = done.stdout + done.stderr
        if not report.exists() or not report.stat().st_size:
            return [], text
        return json.loads(report.read_text('utf-8')), text


def _count(feature: pathlib.Path, reports: list[dict[str, Any]], text: str,
           known: set[str], count: _Count) -> None:
    """Adds one feature's scenarios to the count."""
    red = False
    ran = 0
    for report in reports:
        for element in report.get('elements', []):
            if element['type'] == 'background':
                continue
            ran += 1
            title = f'{report["name"]}: {element["name"]}'
            status = element['status']
            if title in known:
                count.known_red.append(f'{title} ({status})')
            elif status == 'passed':
                count.passed += 1
            else:
                count.failed += 1
                red = True
    if not ran:
        count.failed += 1
        red = True
    print(f'{"FAILED" if red else "ok"}: {feature} ({ran} scenarios)')
    if red:
        print(text)


def main() -> int:
    """Runs the features.

    Returns:
        The exit status: 0 when every scenario passed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('paths', nargs='*', help='feature files; default all')
    parser.add_argument('--jobs', type=int, default=_DEFAULT_JOBS)
    args = parser.parse_args()
    count = _Count()
    known = _known_red()
    features = _features(args.paths)
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as executor:
        for feature, (reports, text) in zip(features,
                                            executor.map(_run, features)):
            _count(feature, reports, text, known, count)
            sys.stdout.flush()
    for title in count.known_red:
        print(f'known red: {title}')
    print(f'{count.passed} passed, {count.failed} failed')
    return 0 if count.passed and not count.failed else 1


if __name__ == '__main__':
    sys.exit(main())
