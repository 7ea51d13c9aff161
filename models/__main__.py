"""Checks the models: `python -m models [--large] [NAME ...]`.

Prints the size of each state space and the counterexample of each mutant.
"""

import argparse
import sys
from collections.abc import Sequence

from models import checking, suite

__all__: list[str] = []


def _print_result(result: checking.CheckResult) -> None:
    verdict = 'holds' if result.holds else 'BROKEN'
    print(f'{result.name}: {verdict}; states {result.states}, '
          f'depth {result.depth}, exhaustive {result.exhaustive}')
    for invariant, trace in result.counterexamples.items():
        print(f'  {invariant}')
        _print_trace(trace)


def _print_trace(trace: Sequence[str]) -> None:
    for step in trace:
        print(f'    {step}')


def _check(name: str, large: bool) -> bool:
    model = suite.MODELS[name]
    make_specification = model.large if large else model.small
    result = checking.check(make_specification(model.rules))
    _print_result(result)
    all_caught = True
    for mutant, rules in model.mutants.items():
        trace = checking.check_mutant(model.small(rules))
        all_caught = all_caught and bool(trace)
        print(f'  mutant: {mutant}: '
              f'{f"caught in {len(trace) - 1} steps" if trace else "MISSED"}')
        _print_trace(trace[1:])
    return result.holds and all_caught


def main() -> int:
    """Checks the models that are named on the command line, or all.

    Returns:
        Exit status: 0 if all invariants hold and every mutant violates one.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names',
                        nargs='*',
                        help='models to check (default: all)')
    parser.add_argument('--large',
                        action='store_true',
                        help='use the larger bounds')
    args = parser.parse_args()
    names = args.names or list(suite.MODELS)
    verdicts = [_check(name, args.large) for name in names]
    return 0 if all(verdicts) else 1


if __name__ == '__main__':
    sys.exit(main())
