#!/bin/sh
# The stand-ins are plain Python modules of review/; checks that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text('utf-8'), str(path), 'exec')
PY
