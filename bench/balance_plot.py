"""Plots the mean skew over the reloaded bytes, for `bench.balance`.

The curve has one point for each skew target; other policies are single points.

Run `python -m bench.balance_plot --seed N --out FILE.png`.
"""

import argparse
from collections.abc import Sequence

from matplotlib import figure as figure_module

from bench import balance

__all__: list[str] = []

_TRACES = ('drift', 'correlated', 'burst', 'seesaw')
_MARKER_BY_POLICY = {
    'never': 'o',
    'full': 's',
    'threshold': '^',
    'buna': 'P',
    'tagline': '*'
}
_DURATION_HOURS = 4.0
_MIN_PLOTTED_GB = 0.05
_DPI = 130


def _simulate_points(trace: str, policies: Sequence[str],
                     seed: int) -> list[tuple[float, float]]:
    rows = [
        balance.run(balance.SMALL_SIZE, trace, policy, seed, _DURATION_HOURS)
        for policy in policies
    ]
    return [(max(_MIN_PLOTTED_GB, row['reloaded_gb']), row['skew_mean'])
            for row in rows]


def _plot(seed: int, path: str) -> None:
    figure = figure_module.Figure(figsize=(10, 7.5))
    grid = figure.subplots(2, 2, sharex=True)
    swept_policies = [f'skew-{skew}' for skew in balance.SWEPT_SKEWS]
    for axes, trace in zip(grid.flat, _TRACES):
        curve = _simulate_points(trace, swept_policies, seed)
        axes.plot(*zip(*curve), '.-', color='tab:blue', label='ours, by target')
        for (gigabytes, skew), target in zip(curve, balance.SWEPT_SKEWS):
            axes.annotate(f'{target}', (gigabytes, skew),
                          fontsize=7,
                          xytext=(3, 4),
                          textcoords='offset points')
        for (name, marker), point in zip(
                _MARKER_BY_POLICY.items(),
                _simulate_points(trace, list(_MARKER_BY_POLICY), seed)):
            axes.plot(*point, marker, markersize=9, linestyle='', label=name)
        axes.set_xscale('log')
        axes.set_title(trace)
        axes.grid(alpha=0.3)
    for axes in grid[-1]:
        axes.set_xlabel('reloaded in 4 h, GB (0.05 stands for none)')
    for axes in grid[:, 0]:
        axes.set_ylabel('mean skew')
    grid[0, 0].legend(fontsize=8)
    figure.suptitle(f'8 ranks, 32 experts, 8 layers; seed {seed}')
    figure.tight_layout()
    figure.savefig(path, dpi=_DPI)


def main() -> None:
    """Writes the figure to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--out', required=True)
    args = parser.parse_args()
    _plot(args.seed, args.out)


if __name__ == '__main__':
    main()
