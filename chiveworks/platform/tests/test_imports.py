"""Third-party packages that a process imports when it starts."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[3]
PROGRAM = (
    'import sys; import chiveworks.platform;'
    'print("\\n".join(sorted({n for n, m in sys.modules.items()'
    ' if "site-packages" in (getattr(m, "__file__", None) or "")})))'
)
#: Packages that only the command line needs and a platform process must not import.
NOT_LOADED = ('cleo', 'pythonjsonlogger', 'grpc', 'numpy', 'pydantic', 'yaml')


def test_a_process_loads_only_what_the_deploy_file_installs():
    """Guards against a failed start if only the deployed packages are installed.

    Also guards against start-up time and memory spent on packages that only other
    commands need.
    """
    run = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = {name.partition('.')[0] for name in run.stdout.splitlines()}
    assert not loaded & set(NOT_LOADED)
    required = (ROOT / 'deploy' / 'requirements.txt').read_text()
    for name in ('aiohttp', 'msgpack', 'opentelemetry', 'prometheus_client', 'result'):
        assert name in loaded
        assert name in required
