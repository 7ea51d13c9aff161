"""Builds the executable archive that is shipped.

    python -m bench.build_binary --output dist/pollenthread

The file is a zip archive with a Python shebang, built by shiv. It contains the
package and the pinned libraries as installed in this environment.
"""

import argparse
import importlib.metadata
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

__all__ = ['build']

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_ENTRY_POINT = 'pollenthread.cli.main:run'
_SHEBANG = '/usr/bin/env python3.11'


def _required_libraries() -> list[str]:
    """Returns the names of the libraries in requirements.txt."""
    lines = (_ROOT / 'requirements.txt').read_text('utf-8').splitlines()
    matches = (re.match(r'[A-Za-z0-9._-]+', line) for line in lines)
    return [name.group() for name in matches if name]


def _copy_packages(folder: pathlib.Path) -> None:
    """Copies the libraries and the package into a folder."""
    for name in _required_libraries():
        distribution = importlib.metadata.distribution(name)
        for file in distribution.files or ():
            if '..' in file.parts or '__pycache__' in file.parts:
                continue
            target = folder / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(str(file.locate()), target)
    shutil.copytree(_ROOT / 'pollenthread',
                    folder / 'pollenthread',
                    ignore=shutil.ignore_patterns('__pycache__'))


def build(output: pathlib.Path) -> None:
    """Builds the archive.

    Args:
        output: path of the archive; its folder is created if necessary.

    Raises:
        CalledProcessError: shiv failed.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        site_packages = pathlib.Path(folder) / 'site'
        _copy_packages(site_packages)
        subprocess.run([
            sys.executable, '-m', 'shiv', '--site-packages',
            str(site_packages), '--entry-point', _ENTRY_POINT, '--python',
            _SHEBANG, '--compressed', '--reproducible', '--output-file',
            str(output)
        ],
                       check=True,
                       capture_output=True)


def main() -> None:
    """Builds the archive at the path that --output gives."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--output',
                        type=pathlib.Path,
                        default=_ROOT / 'dist' / 'pollenthread')
    args = parser.parse_args()
    build(args.output)
    size_mb = args.output.stat().st_size / 1e6
    print(f'{args.output}: {size_mb:.1f} MB')


if __name__ == '__main__':
    main()
