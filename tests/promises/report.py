"""Prints the results as a table."""

import textwrap

from tests.promises.tally import Tally

_SHOWN_VIOLATIONS = 5
_INDENT = ' ' * 4


def print_report(tally: Tally) -> None:
    """Prints one row for each promise, with its faults and first violations."""
    head = f'{"promise":40} {"operations":>10} {"faults":>7} {"violations":>10}'
    print(f'{head}  verdict')
    for promise, row in tally.counts.items():
        if not row.operations and not row.violations:
            print(f'{promise.value:40} not tried')
            continue
        verdict = 'broken' if row.violations else 'held'
        print(
            f'{promise.value:40} {row.operations:>10} {row.faults.total():>7} '
            f'{len(row.violations):>10}  {verdict}'
        )
        faults = ', '.join(f'{kind} {count}' for kind, count in row.faults.items())
        print(
            textwrap.fill(
                faults, 100, initial_indent=_INDENT, subsequent_indent=_INDENT
            )
        )
        for message in row.violations[:_SHOWN_VIOLATIONS]:
            print(f'{_INDENT}violation: {message}')
