"""Settings of an entry process."""

from collections.abc import Mapping
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator
from pydantic_core import PydanticCustomError

from chiveworks.base import EntryId, ZoneName
from chiveworks.settings._address import ListenAddress
from chiveworks.settings._limits import Limits
from chiveworks.settings._placement import PlacementSettings
from chiveworks.settings._retry import RetrySettings
from chiveworks.settings._routing import RoutingSettings
from chiveworks.settings._zone_latency import ZoneLatency

#: Names are used in store keys.
_NAME_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'
_URL_PATTERN = r'^https?://[^/\s]+'

_Url = Annotated[str, Field(pattern=_URL_PATTERN)]
#: Time allowed from the expiry of a shard lease until the successor renews the leases
#: of the workers.
_SHARD_TAKEOVER_MS = 4000
_Milliseconds = Annotated[int, Field(gt=0)]


class Settings(BaseModel):
    """Settings of an entry process; `docs/settings.md` explains each."""

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    entry_id: Annotated[EntryId, Field(pattern=_NAME_PATTERN)]
    zone: Annotated[ZoneName, Field(pattern=_NAME_PATTERN)]
    listen: ListenAddress
    peer: ListenAddress
    store_url: _Url
    instances_url: _Url
    zones: tuple[ZoneLatency, ...] = ()
    register_instance: bool = True
    worker_lease_ms: _Milliseconds = 20_000
    worker_renew_ms: _Milliseconds = 4000
    idle_worker_renew_ms: _Milliseconds = 8000
    shard_lease_ms: _Milliseconds = 6000
    shard_renew_ms: _Milliseconds = 2000
    commit_tick_ms: _Milliseconds = 250
    store_outage_tolerance_ms: _Milliseconds = 900_000
    # A start command may take effect up to this long after its zone was read as in
    # service. The upper bound ensures that no task starts 3 s or more after its zone
    # was taken out of service.
    ticket_max_age_ms: Annotated[int, Field(gt=0, lt=3000)] = 2000
    drain_grace_ms: Annotated[int, Field(ge=0)] = 5000
    store_timeout_ms: _Milliseconds = 2000
    routing: RoutingSettings = RoutingSettings()
    placement: PlacementSettings = PlacementSettings()
    limits: Limits = Limits()
    retry: RetrySettings = RetrySettings()
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'

    @property
    def zone_latencies_ms(self) -> Mapping[ZoneName, float]:
        """Round-trip time to each zone; only this zone if none is listed."""
        return {zone.name: zone.latency_ms for zone in self.zones} or {self.zone: 0}

    @model_validator(mode='after')
    def _check_zones(self) -> 'Settings':
        names = [zone.name for zone in self.zones]
        for index, name in enumerate(names):
            if name in names[:index]:
                raise _constraint_error(
                    f'zones.{index}.name', f'{name} is listed twice'
                )
        if names and self.zone not in names:
            raise _constraint_error(
                'zones', f"this process's zone {self.zone} is not listed"
            )
        return self

    @model_validator(mode='after')
    def _check_times(self) -> 'Settings':
        worker, shard = self.worker_lease_ms, self.shard_lease_ms
        self._check_below('worker_renew_ms', 'worker_lease_ms', worker)
        self._check_below('idle_worker_renew_ms', 'worker_lease_ms', worker)
        self._check_below('shard_renew_ms', 'shard_lease_ms', shard)
        self._check_below('commit_tick_ms', 'ticket_max_age_ms', self.ticket_max_age_ms)
        # Otherwise worker leases expire before the new shard owner renews them.
        self._check_below(
            'shard_lease_ms',
            'worker_lease_ms - 2 * worker_renew_ms - 4000',
            worker - 2 * self.worker_renew_ms - _SHARD_TAKEOVER_MS,
        )
        # A single renewal that times out must not cause the loss of the shard lease.
        self._check_below(
            'store_timeout_ms',
            'shard_lease_ms - shard_renew_ms',
            shard - self.shard_renew_ms,
        )
        return self

    def _check_below(self, field: str, bound: str, bound_ms: int) -> None:
        actual_ms: int = getattr(self, field)
        if actual_ms >= bound_ms:
            raise _constraint_error(
                field, f'expected less than {bound} ({bound_ms} ms), got {actual_ms} ms'
            )


def _constraint_error(field: str, message: str) -> PydanticCustomError:
    return PydanticCustomError(
        'impossible', '{text}', {'field': field, 'text': message}
    )
