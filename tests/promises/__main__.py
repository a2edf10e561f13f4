"""Command-line interface of the checks."""

import argparse
import sys
import time

from tests.promises.check import disable_logging
from tests.promises.report import print_report
from tests.promises.run import run_checks


def main() -> int:
    """Runs the selected checks; returns 0 only if no promise was violated."""
    parser = argparse.ArgumentParser(prog='python -m tests.promises')
    parser.add_argument('--seeds', type=int, default=25)
    parser.add_argument('--mutants', action='store_true')
    parser.add_argument('--processes', action='store_true')
    parser.add_argument(
        '--only',
        default='',
        help='run only checks or mutants whose names contain this text',
    )
    options = parser.parse_args()
    disable_logging()
    if options.mutants:
        from tests.promises.mutation import run_mutants

        return run_mutants(options.seeds, options.only)
    if options.processes:
        from tests.promises.processes import run_processes

        return run_processes()
    began = time.monotonic()
    tally = run_checks(options.seeds, options.only)
    print_report(tally)
    print(f'{time.monotonic() - began:.0f} s, --seeds {options.seeds}')
    return 1 if tally.violation_count else 0


if __name__ == '__main__':
    sys.exit(main())
