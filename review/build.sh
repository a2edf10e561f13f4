#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python and use aiohttp, which the
# build of the deploy file puts into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c 'import aiohttp' || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
from pathlib import Path
for path in sorted(Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
    print('built', path)
END
