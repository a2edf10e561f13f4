"""Command that shows the state of everything."""

from types import MappingProxyType
from typing import Any

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import ServerCommand

_TITLES = MappingProxyType(
    {
        'services': 'services, last 5 minutes in the entry process that answers',
        'overrides': 'open manual overrides',
        'past_overrides': 'manual overrides of the last day that are closed',
        'unknown_outcomes': 'jobs whose outcome is unknown',
        'unreachable_zones': 'zones whose shard has no owner in reach',
    }
)
_ORDER = (
    'services',
    'jobs',
    'overrides',
    'past_overrides',
    'unknown_outcomes',
    'zones',
)
#: Shown in parts of their own, or too long for a table.
_HIDDEN = frozenset(
    (
        'overrides',
        'past_overrides',
        'unknown_outcomes',
        'remaining_tasks',
        'job_counts',
        'generation',
        'job_id',
    )
)


class Status(ServerCommand):
    """Shows services, jobs, overrides, unknown outcomes and zones."""

    name = 'status'
    description = 'Shows services, jobs, overrides, unknown outcomes and zones.'

    async def talk(self, client: ServerClient) -> ExitCode:
        """Reads the status."""
        return self.finish(await client.get('status'), self._show)

    def _show(self, body: dict[str, Any]) -> None:
        """Shows each part in a table with the columns that the server sent."""
        titles = [title for title in _ORDER if title in body]
        titles.extend(title for title in body if title not in _ORDER)
        for title in titles:
            self.printer.line(f'{_TITLES.get(title, title)}:')
            self._show_part(body[title])
            self.printer.line('')

    def _show_part(self, part: Any) -> None:
        if isinstance(part, dict):
            self.printer.fields(part)
        elif _is_table(part):
            self._show_table([_shorten(row) for row in part])
        elif isinstance(part, list):
            self.printer.line(', '.join(map(str, part)))
        else:
            self.printer.line(str(part))

    def _show_table(self, rows: list[dict[str, Any]]) -> None:
        # Keeps the order in which the columns first appear.
        columns = list({name: None for row in rows for name in row})
        self.printer.table(
            columns, ([row.get(name) for name in columns] for row in rows)
        )


def _is_table(part: Any) -> bool:
    return isinstance(part, list) and all(isinstance(row, dict) for row in part)


def _shorten(row: dict[str, Any]) -> dict[str, Any]:
    return {
        name: _summarize(field) for name, field in row.items() if name not in _HIDDEN
    }


def _summarize(field: Any) -> Any:
    """Puts counts by state and lists of names or tasks into one cell."""
    if not isinstance(field, list):
        return field
    return ', '.join(_word(one) for one in field) or None


def _word(one: Any) -> str:
    if not isinstance(one, dict):
        return str(one)
    if 'count' in one:
        return f'{one["count"]} {one.get("state")}'
    return f'{one.get("task_id")} {one.get("state")}'
