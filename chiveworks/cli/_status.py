"""Command that shows the state of services, jobs, overrides and zones."""

from types import MappingProxyType
from typing import Any

from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import ServerCommand

_SECTION_TITLES = MappingProxyType(
    {
        'services': 'services, last 5 minutes in the queried entry process',
        'overrides': 'open manual overrides',
        'past_overrides': 'closed manual overrides detected in the last day',
        'unknown_outcomes': 'jobs whose outcome is unknown',
        'unreachable_zones': 'zones without a reachable shard owner',
    }
)
_SECTION_ORDER = (
    'services',
    'jobs',
    'overrides',
    'past_overrides',
    'unknown_outcomes',
    'zones',
)
#: Columns that have a section of their own or are too long for a table.
_HIDDEN_COLUMNS = frozenset(
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

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Reads the status."""
        return self.finish(await client.get('status'), self._show)

    def _show(self, body: dict[str, Any]) -> None:
        """Shows each section as a table with the columns that the server sent."""
        names = [name for name in _SECTION_ORDER if name in body]
        names.extend(name for name in body if name not in _SECTION_ORDER)
        for name in names:
            self.printer.line(f'{_SECTION_TITLES.get(name, name)}:')
            self._show_section(body[name])
            self.printer.line('')

    def _show_section(self, section: Any) -> None:
        if isinstance(section, dict):
            self.printer.fields(section)
        elif _is_table(section):
            self._show_table([_shorten(row) for row in section])
        elif isinstance(section, list):
            self.printer.line(', '.join(map(str, section)))
        else:
            self.printer.line(str(section))

    def _show_table(self, rows: list[dict[str, Any]]) -> None:
        # A dict, to keep the order in which the columns first appear.
        columns = list({name: None for row in rows for name in row})
        self.printer.table(
            columns, ([row.get(name) for name in columns] for row in rows)
        )


def _is_table(section: Any) -> bool:
    return isinstance(section, list) and all(isinstance(row, dict) for row in section)


def _shorten(row: dict[str, Any]) -> dict[str, Any]:
    return {
        name: _summarize(field)
        for name, field in row.items()
        if name not in _HIDDEN_COLUMNS
    }


def _summarize(field: Any) -> Any:
    """Formats counts by state and lists of names or tasks for one cell."""
    if not isinstance(field, list):
        return field
    return ', '.join(_format_item(item) for item in field) or None


def _format_item(item: Any) -> str:
    if not isinstance(item, dict):
        return str(item)
    if 'count' in item:
        return f'{item["count"]} {item.get("state")}'
    return f'{item.get("task_id")} {item.get("state")}'
