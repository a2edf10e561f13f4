"""Describes the machine of a benchmark run and writes the report."""

import json
import os
import platform
from datetime import datetime, timezone
from pathlib import Path

RESULTS = Path(__file__).parent / 'results'


def describe_machine() -> dict:
    return {
        'python': platform.python_version(),
        'machine': platform.machine(),
        'cores': os.cpu_count(),
        'load_1min': round(os.getloadavg()[0], 2),
        'at': datetime.now(timezone.utc).isoformat(timespec='seconds'),
    }


def write_report(name: str, report: dict) -> None:
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f'{name}.json'
    path.write_text(json.dumps(report, indent=2) + '\n')
