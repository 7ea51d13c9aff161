"""Checks every specification: `python -m models [--large] [NAME ...]`."""

import argparse
import sys
from collections.abc import Sequence

from models import checking, suite

__all__: list[str] = []


def _report(finding: checking.Finding) -> None:
    verdict = 'holds' if finding.holds else 'BROKEN'
    print(f'{finding.name}: {verdict}; states {finding.states}, '
          f'depth {finding.depth}, exhaustive {finding.exhaustive}')
    for invariant, trace in finding.traces_by_invariant.items():
        print(f'  {invariant}')
        _print_trace(trace)


def _print_trace(trace: Sequence[str]) -> None:
    for step in trace:
        print(f'    {step}')


def _check(name: str, large: bool) -> bool:
    subject = suite.SUBJECTS[name]
    specify = subject.large if large else subject.small
    finding = checking.check(specify(subject.rules))
    _report(finding)
    caught = True
    for mutant, rules in subject.mutants.items():
        trace = checking.check_mutant(subject.small(rules))
        caught = caught and bool(trace)
        print(f'  mutant: {mutant}: '
              f'{f"caught in {len(trace) - 1} steps" if trace else "MISSED"}')
        _print_trace(trace[1:])
    return finding.holds and caught


def main() -> int:
    """Checks the named specifications.

    Returns:
        The exit status: 0 when all hold and every mutant is caught.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', help='default: all')
    parser.add_argument('--large', action='store_true', help='larger bounds')
    args = parser.parse_args()
    names = args.names or list(suite.SUBJECTS)
    verdicts = [_check(name, args.large) for name in names]
    return 0 if all(verdicts) else 1


if __name__ == '__main__':
    sys.exit(main())
