"""The table that the command prints."""

from tests.promises.tally import Tally

_SHOWN_VIOLATIONS = 5


def print_report(tally: Tally) -> None:
    """Prints one row for each promise that was tried, and its violations."""
    print(f'{"promise":40} {"operations":>10} {"violations":>10}  verdict  faults')
    for promise, row in tally.rows.items():
        if not row.operations and not row.violations:
            print(f'{promise.value:40} not tried')
            continue
        verdict = 'broken' if row.violations else 'held'
        faults = ', '.join(f'{kind} {count}' for kind, count in row.faults.items())
        print(
            f'{promise.value:40} {row.operations:>10} {len(row.violations):>10}'
            f'  {verdict:7}  {faults}'
        )
        for message in row.violations[:_SHOWN_VIOLATIONS]:
            print(f'    {message}')
