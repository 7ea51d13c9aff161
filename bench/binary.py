"""Size, start and memory of the ways to ship one file.

    python -m bench.binary --seed 1 [--quick]
"""

import argparse
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
import zipfile
from typing import Any

import yaml

from bench import build_binary, common

__all__: list[str] = []

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_EXAMPLE = _ROOT / 'examples' / 'buna' / 'targets.yaml'
_MAX_MB = 64.0
_NOWHERE = '127.0.0.1:1'
_ANY_PORT = '127.0.0.1:0'
_SETTINGS = {
    'role': 'entry',
    'host': 'entry-1',
    'data_centre': 'dc-1',
    'region': 'region-1',
    'callers': _ANY_PORT,
    'links': _ANY_PORT,
    'admin': _ANY_PORT,
    'platform': {
        'table': _NOWHERE,
        'object_store': _NOWHERE,
        'host_list': _NOWHERE
    }
}


def _environment(unpacked: pathlib.Path) -> dict[str, str]:
    return {**os.environ, 'SHIV_ROOT': str(unpacked)}


def _start_s(command: list[str], unpacked: pathlib.Path) -> float:
    """Wall seconds of a whole check."""
    started = time.monotonic()
    subprocess.run([*command, 'check', str(_EXAMPLE)],
                   env=_environment(unpacked),
                   cwd=_ROOT,
                   stdout=subprocess.DEVNULL,
                   check=True)
    return time.monotonic() - started


def _resident_mb(command: list[str], unpacked: pathlib.Path) -> float:
    """Resident size of an entry host that has just become ready."""
    settings = unpacked.with_suffix('.yaml')
    settings.write_text(yaml.safe_dump(_SETTINGS), 'utf-8')
    with subprocess.Popen([*command, 'entry', str(settings)],
                          env=_environment(unpacked),
                          cwd=_ROOT,
                          stdout=subprocess.PIPE,
                          stderr=subprocess.DEVNULL) as child:
        assert child.stdout is not None
        child.stdout.readline()
        status = pathlib.Path(f'/proc/{child.pid}/status').read_text('ascii')
        child.kill()
    line = next(l for l in status.splitlines() if l.startswith('VmRSS:'))
    return int(line.split()[1]) / 1024


def _row(name: str, command: list[str], size_mb: float, rounds: int,
         folder: pathlib.Path) -> dict[str, Any]:
    unpacked = folder / f'unpacked-{name}'
    first_s = _start_s(command, unpacked)
    runs = [_start_s(command, unpacked) for _ in range(rounds)]
    unpacked_mb = sum(
        f.stat().st_size for f in unpacked.rglob('*') if f.is_file()) / 1e6
    return {
        'way': name,
        'size_mb': size_mb,
        'unpacked_mb': unpacked_mb,
        'first_start_s': first_s,
        'start_s': statistics.median(runs),
        'start_low_s': min(runs),
        'start_high_s': max(runs),
        'resident_mb': _resident_mb(command, unpacked)
    }


def _stored(source: pathlib.Path, target: pathlib.Path) -> None:
    """The same archive without compression."""
    with zipfile.ZipFile(source) as packed, target.open('wb') as file:
        file.write(b'#!/usr/bin/env python3.11\n')
        with zipfile.ZipFile(file, 'w', zipfile.ZIP_STORED) as stored:
            for item in packed.infolist():
                stored.writestr(item.filename, packed.read(item))
    target.chmod(0o755)


def main() -> None:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    rounds = 3 if args.quick else 9
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        packed, stored = folder / 'packed', folder / 'stored'
        build_binary.build(packed)
        _stored(packed, stored)
        ways = [('sources', [sys.executable, '-m', 'pollenthread'], 0.0)]
        ways += [(path.name, [str(path)], path.stat().st_size / 1e6)
                 for path in (packed, stored)]
        rows = [
            _row(name, command, size_mb, rounds, folder)
            for name, command, size_mb in ways
        ]
    base = rows[0]['start_s']
    for row in rows:
        row['start_ratio'] = row['start_s'] / base
        print(row)
    resident = max(row['resident_mb'] for row in rows)
    common.emit(
        args.seed, rows,
        [common.Target('resident MB', _MAX_MB, resident, resident <= _MAX_MB)])


if __name__ == '__main__':
    main()
