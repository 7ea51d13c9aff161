"""Measures file size, start time and memory of the shipped binary.

It compares the sources, the compressed archive and an uncompressed archive.

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
_EXAMPLE_TARGETS = _ROOT / 'examples' / 'buna' / 'targets.yaml'
_MAX_RESIDENT_MB = 64.0
_UNREACHABLE_ADDRESS = '127.0.0.1:1'
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
        'table': _UNREACHABLE_ADDRESS,
        'object_store': _UNREACHABLE_ADDRESS,
        'host_list': _UNREACHABLE_ADDRESS
    }
}


def _environment(unpack_folder: pathlib.Path) -> dict[str, str]:
    return {**os.environ, 'SHIV_ROOT': str(unpack_folder)}


def _start_s(command: list[str], unpack_folder: pathlib.Path) -> float:
    """Measures the duration of a `check` command, in seconds."""
    started = time.monotonic()
    subprocess.run([*command, 'check', str(_EXAMPLE_TARGETS)],
                   env=_environment(unpack_folder),
                   cwd=_ROOT,
                   stdout=subprocess.DEVNULL,
                   check=True)
    return time.monotonic() - started


def _resident_mb(command: list[str], unpack_folder: pathlib.Path) -> float:
    """Measures the memory of an entry host that has just become ready."""
    settings = unpack_folder.with_suffix('.yaml')
    settings.write_text(yaml.safe_dump(_SETTINGS), 'utf-8')
    with subprocess.Popen([*command, 'entry', str(settings)],
                          env=_environment(unpack_folder),
                          cwd=_ROOT,
                          stdout=subprocess.PIPE,
                          stderr=subprocess.DEVNULL) as process:
        assert process.stdout is not None
        process.stdout.readline()
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text('ascii')
        process.kill()
    line = next(text_line for text_line in status.splitlines()
                if text_line.startswith('VmRSS:'))
    return int(line.split()[1]) / 1024


def _row(name: str, command: list[str], size_mb: float, rounds: int,
         folder: pathlib.Path) -> dict[str, Any]:
    unpack_folder = folder / f'unpacked-{name}'
    first_start_s = _start_s(command, unpack_folder)
    durations_s = [_start_s(command, unpack_folder) for _ in range(rounds)]
    unpacked_mb = sum(
        f.stat().st_size for f in unpack_folder.rglob('*') if f.is_file()) / 1e6
    return {
        'way': name,
        'size_mb': size_mb,
        'unpacked_mb': unpacked_mb,
        'first_start_s': first_start_s,
        'start_s': statistics.median(durations_s),
        'start_low_s': min(durations_s),
        'start_high_s': max(durations_s),
        'resident_mb': _resident_mb(command, unpack_folder)
    }


def _write_uncompressed(source: pathlib.Path, target: pathlib.Path) -> None:
    """Writes a copy of an archive without compression."""
    with zipfile.ZipFile(source) as compressed, target.open('wb') as file:
        file.write(b'#!/usr/bin/env python3.11\n')
        with zipfile.ZipFile(file, 'w', zipfile.ZIP_STORED) as uncompressed:
            for item in compressed.infolist():
                uncompressed.writestr(item.filename, compressed.read(item))
    target.chmod(0o755)


def main() -> None:
    """Runs the measurement and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--quick', action='store_true')
    args = parser.parse_args()
    rounds = 3 if args.quick else 9
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        compressed, uncompressed = folder / 'packed', folder / 'stored'
        build_binary.build(compressed)
        _write_uncompressed(compressed, uncompressed)
        variants = [('sources', [sys.executable, '-m', 'pollenthread'], 0.0)]
        variants += [(path.name, [str(path)], path.stat().st_size / 1e6)
                     for path in (compressed, uncompressed)]
        rows = [
            _row(name, command, size_mb, rounds, folder)
            for name, command, size_mb in variants
        ]
    sources_start_s = rows[0]['start_s']
    for row in rows:
        row['start_ratio'] = row['start_s'] / sources_start_s
        print(row)
    resident_mb = max(row['resident_mb'] for row in rows)
    common.emit(args.seed, rows, [
        common.Target('resident MB', _MAX_RESIDENT_MB, resident_mb, resident_mb
                      <= _MAX_RESIDENT_MB)
    ])


if __name__ == '__main__':
    main()
