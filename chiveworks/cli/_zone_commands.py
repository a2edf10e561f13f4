"""Commands that take availability zones out of service and bring them back."""

from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chiveworks.catalogue import ZoneState
from chiveworks.cli._exit_code import ExitCode
from chiveworks.cli._server_client import ServerClient
from chiveworks.cli._server_command import AUTHOR_OPTION, SERVER_OPTIONS, ServerCommand

_ZONE_COLUMNS = ('name', 'state', 'since', 'author', 'reason', 'revision')
_TASK_COLUMNS = ('task_id', 'state', 'attempt', 'worker')


class _ZoneCommand(ServerCommand):
    arguments: ClassVar[list[Argument]] = [argument('zone', 'Name of the zone.')]
    options: ClassVar[list[Option]] = [
        *SERVER_OPTIONS,
        AUTHOR_OPTION,
        option('reason', 'r', 'Reason for the change.', flag=False, default=''),
    ]
    state: ClassVar[ZoneState]

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Sets the state of the zone."""
        reply = await client.change(
            'PUT',
            'zones',
            self.argument('zone'),
            query={'author': self.author()},
            body={'state': self.state.value, 'reason': self.option('reason')},
        )
        return self.finish(reply, self._show)

    def _show(self, body: dict[str, Any]) -> None:
        state = self.state.value.replace('_', ' ')
        zone = self.argument('zone')
        self.printer.line(f'zone {zone} is {state}, revision {body.get("revision")}')


class ZoneOut(_ZoneCommand):
    """Takes an availability zone out of service."""

    name = 'zone out'
    description = 'Takes an availability zone out of service.'
    state = ZoneState.OUT


class ZoneBack(_ZoneCommand):
    """Brings an availability zone back into service."""

    name = 'zone back'
    description = 'Brings an availability zone back into service.'
    state = ZoneState.IN_SERVICE


class ZoneStatus(ServerCommand):
    """Shows the states of all zones."""

    name = 'zone status'
    description = 'Shows which availability zones are in service.'

    async def run_with_client(self, client: ServerClient) -> ExitCode:
        """Reads the states."""
        return self.finish(await client.get('zones'), self._show)

    def _show(self, body: dict[str, Any]) -> None:
        zones = body.get('zones', ())
        self.printer.table(
            _ZONE_COLUMNS,
            ([zone.get(column) for column in _ZONE_COLUMNS] for zone in zones),
        )
        for zone in zones:
            if zone.get('state') == ZoneState.OUT.value:
                self._show_remaining(zone)

    def _show_remaining(self, zone: dict[str, Any]) -> None:
        """Shows the tasks that cannot be evicted and run to completion."""
        name, tasks = zone.get('name'), zone.get('tasks')
        self.printer.line('')
        if tasks:
            self.printer.line(
                f'tasks still running in {name} because they cannot be evicted:'
            )
            self.printer.table(
                _TASK_COLUMNS,
                ([task.get(column) for column in _TASK_COLUMNS] for task in tasks),
            )
        elif tasks is None:
            self.printer.line(f'tasks in {name} are unknown: no shard owner responds')
        else:
            self.printer.line(f'nothing runs in {name} that cannot be evicted')
