"""Runs the features with behave and counts the scenarios by result.

Scenarios that KNOWN-RED.txt lists do not affect the exit status; their results
are printed. Each line `scenario: FEATURE: NAME` of the file lists one scenario.

Features whose first line is the tag `@alone` run one at a time, after the
others.
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
from collections.abc import Iterator, Sequence
from typing import Any

__all__: list[str] = []

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED_FILE = _ROOT / 'KNOWN-RED.txt'
_SCENARIO_PREFIX = 'scenario: '
_ALONE_TAG = '@alone'
_FEATURE_TIMEOUT_S = 900
_DEFAULT_JOBS = max(1, (os.cpu_count() or 2) // 2)


@dataclasses.dataclass
class _ResultCounts:
    """Results of the scenarios.

    Attributes:
        passed: the number of passed scenarios.
        failed: the number of failed scenarios and of features without any.
        known_red: the titles and statuses of the listed scenarios.
    """

    passed: int = 0
    failed: int = 0
    known_red: list[str] = dataclasses.field(default_factory=list)


def _read_known_red() -> set[str]:
    if not _KNOWN_RED_FILE.exists():
        return set()
    lines = _KNOWN_RED_FILE.read_text('utf-8').splitlines()
    return {
        line[len(_SCENARIO_PREFIX):].strip()
        for line in lines
        if line.startswith(_SCENARIO_PREFIX)
    }


def _feature_paths(paths: Sequence[str]) -> list[pathlib.Path]:
    if paths:
        return [pathlib.Path(path) for path in paths]
    return sorted((_ROOT / 'tests').glob('*/*.feature'))


def _runs_alone(feature: pathlib.Path) -> bool:
    return feature.read_text('utf-8').startswith(_ALONE_TAG)


def _run_features(
    features: Sequence[pathlib.Path], jobs: int
) -> Iterator[tuple[pathlib.Path, tuple[list[dict[str, Any]], str]]]:
    """Runs features in parallel, then those that run alone one at a time.

    Yields:
        Each feature with what `_run_feature` returns.
    """
    shared = [feature for feature in features if not _runs_alone(feature)]
    with concurrent.futures.ThreadPoolExecutor(jobs) as executor:
        yield from zip(shared, executor.map(_run_feature, shared))
    for feature in features:
        if _runs_alone(feature):
            yield feature, _run_feature(feature)


def _run_feature(feature: pathlib.Path) -> tuple[list[dict[str, Any]], str]:
    """Runs one feature.

    Returns:
        The JSON report of behave, empty if there is none, and its text output.
    """
    with tempfile.TemporaryDirectory() as directory:
        report = pathlib.Path(directory) / 'report.json'
        command = [
            sys.executable, '-m', 'behave', '--no-color', '--format', 'plain',
            '--format', 'json', '--outfile', '/dev/stdout', '--outfile',
            str(report), '--no-skipped',
            str(feature)
        ]
        environment = {**os.environ, 'PYTHONPATH': str(_ROOT)}
        try:
            process = subprocess.run(command,
                                     cwd=_ROOT,
                                     env=environment,
                                     capture_output=True,
                                     text=True,
                                     check=False,
                                     timeout=_FEATURE_TIMEOUT_S)
        except subprocess.TimeoutExpired as error:
            return [], f'{feature}: timed out\n{error.stdout!r}'
        output = process.stdout + process.stderr
        if not report.exists() or not report.stat().st_size:
            return [], output
        return json.loads(report.read_text('utf-8')), output


def _add_results(feature: pathlib.Path, reports: list[dict[str,
                                                           Any]], output: str,
                 known_red_titles: set[str], counts: _ResultCounts) -> None:
    """Adds the results of one feature and prints its status."""
    has_failed = False
    scenario_count = 0
    for report in reports:
        for element in report.get('elements', []):
            if element['type'] == 'background':
                continue
            scenario_count += 1
            title = f'{report["name"]}: {element["name"]}'.strip()
            status = element['status']
            if title in known_red_titles:
                counts.known_red.append(f'{title} ({status})')
            elif status == 'passed':
                counts.passed += 1
            else:
                counts.failed += 1
                has_failed = True
    if not scenario_count:
        counts.failed += 1
        has_failed = True
    print(f'{"FAILED" if has_failed else "ok"}: {feature} '
          f'({scenario_count} scenarios)')
    if has_failed:
        print(output)


def main() -> int:
    """Runs the features.

    Returns:
        The exit status: 0 if scenarios passed and none failed, otherwise 1.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('paths', nargs='*', help='feature files; default all')
    parser.add_argument('--jobs', type=int, default=_DEFAULT_JOBS)
    args = parser.parse_args()
    counts = _ResultCounts()
    known_red_titles = _read_known_red()
    features = _feature_paths(args.paths)
    for feature, (reports, output) in _run_features(features, args.jobs):
        _add_results(feature, reports, output, known_red_titles, counts)
        sys.stdout.flush()
    for title in counts.known_red:
        print(f'known red: {title}')
    print(f'{counts.passed} passed, {counts.failed} failed')
    return 0 if counts.passed and not counts.failed else 1


if __name__ == '__main__':
    sys.exit(main())
