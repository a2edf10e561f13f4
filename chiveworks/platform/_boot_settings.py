"""Settings of a process, which the platform provides as a TOML file."""

import tomllib
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any, Final

from chiveworks.base import EntryId, ZoneName
from chiveworks.dispatch import SchedulingBounds
from chiveworks.guard import ClientBudget

#: Memory and descriptors of the smallest machines, for settings that name none.
_SMALLEST_MEMORY_MB: Final = 200
_SMALLEST_MAX_FDS: Final = 4100
_MEGABYTE: Final = 1_000_000

#: Value of the platform's deployments.
_DEFAULT_REVOCATION_LIMIT: Final = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class BootSettings:
    """Settings that a process reads when it starts.

    Attributes:
        process: Name of the machine; identifies the process in logs.
        zone: Availability zone.
        front: Host and port of the HTTP interface for clients.
        ready: Host and port of the readiness check.
        store: Host and port of the metadata store.
        cloud: Host and port of the machine service; empty if there is none.
        advice: Host and port of the placement advice service; empty if there is none.
        cores: Processor share, in cores.
        grace: Time from SIGTERM until the process is killed.
        bounds: Bounds of the scheduler.
        clients: Memory and connections that clients may use.
        revocation_limit: Time after which no call with a revoked key may be served; None
            if a process may serve calls however old its configuration is.
    """

    process: EntryId
    zone: ZoneName
    front: tuple[str, int]
    ready: tuple[str, int]
    store: str
    cloud: str
    advice: str
    cores: float
    grace: timedelta
    bounds: SchedulingBounds
    clients: ClientBudget
    revocation_limit: timedelta | None = None


def read_boot_settings(path: Path) -> BootSettings:
    """Reads the settings file.

    Raises:
        OSError: The file cannot be read.
        KeyError: A required field is missing.
        ValueError: The file is not valid TOML, or a port is not a number.
    """
    fields = tomllib.loads(path.read_text())
    bounds, limits, listen = fields['bounds'], fields['limits'], fields['listen']
    return BootSettings(
        EntryId(fields['node']),
        ZoneName(fields['zone']),
        _split_address(listen['front']),
        _split_address(listen['ready']),
        fields['platform']['address'],
        fields.get('cloud', {}).get('address', ''),
        fields.get('advice', ''),
        limits['cpu_share'] * limits['cores'],
        timedelta(seconds=bounds['grace_s']),
        SchedulingBounds(
            _milliseconds(bounds, 'hold_max_ms'),
            _milliseconds(bounds, 'stop_ms'),
            _milliseconds(bounds, 'early_ms'),
            timedelta(seconds=bounds.get('status_s', 0)),
            float(bounds.get('quota_overrun', 0)),
            float(bounds.get('remote_factor', 1)),
        ),
        _read_client_budget(limits),
        _read_revocation_limit(bounds),
    )


def _read_client_budget(limits: dict[str, Any]) -> ClientBudget:
    derived = ClientBudget.derive(
        limits.get('memory_mb', _SMALLEST_MEMORY_MB),
        limits.get('max_fds', _SMALLEST_MAX_FDS),
    )
    body_bytes = derived.body_bytes
    if 'client_memory_mb' in limits:
        body_bytes = int(limits['client_memory_mb'] * _MEGABYTE)
    return ClientBudget(
        limits.get('client_connections', derived.connections), body_bytes
    )


def _read_revocation_limit(bounds: dict[str, Any]) -> timedelta | None:
    if not bounds.get('revoke_fail_closed', False):
        return None
    if 'revoke_ms' not in bounds:
        return _DEFAULT_REVOCATION_LIMIT
    return _milliseconds(bounds, 'revoke_ms')


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def _milliseconds(bounds: dict[str, Any], name: str) -> timedelta:
    return timedelta(milliseconds=bounds.get(name, 0))
