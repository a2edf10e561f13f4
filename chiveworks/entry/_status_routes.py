"""HTTP handlers for the status overview and manual overrides."""

import asyncio
from collections import Counter
from typing import Any

from aiohttp import web
from pydantic import TypeAdapter
from result import Err, Ok

from chiveworks.base import Failure, ServiceClass, Verdict, ZoneName
from chiveworks.catalogue import CatalogueReplica
from chiveworks.entry._catalogue_responses import bad_request, not_found, zone_fields
from chiveworks.entry._job_routes import shard_failure_response
from chiveworks.entry._service_monitor import ServiceMonitor
from chiveworks.membership import (
    FailureReason,
    OverrideAction,
    OverrideResolution,
    OverrideView,
    ShardClient,
    ShardView,
    reason_of,
)

_SHARD_ADAPTER = TypeAdapter(ShardView)
_OVERRIDE_ADAPTER = TypeAdapter(OverrideView)


def add_status_routes(
    app: web.Application,
    zones: tuple[ZoneName, ...],
    shards: ShardClient,
    replica: CatalogueReplica,
    monitor: ServiceMonitor,
) -> None:
    """Adds `/v1/status` and the override endpoints to an application."""
    routes = _StatusRoutes(zones, shards, replica, monitor)
    app.add_routes(
        [
            web.get('/v1/status', routes.status),
            web.get('/v1/overrides', routes.list_overrides),
            web.post('/v1/overrides/{override_id}/{action}', routes.resolve),
        ]
    )


class _StatusRoutes:
    def __init__(
        self,
        zones: tuple[ZoneName, ...],
        shards: ShardClient,
        replica: CatalogueReplica,
        monitor: ServiceMonitor,
    ) -> None:
        self._zones = zones
        self._shards = shards
        self._replica = replica
        self._monitor = monitor

    async def status(self, _request: web.Request) -> web.Response:
        views = await self._describe_shards()
        shard_fields: list[dict[str, Any]] = [
            _SHARD_ADAPTER.dump_python(view, mode='json')
            for view in views.values()
            if view is not None
        ]
        return web.json_response(
            {
                'services': self._services(),
                'jobs': _sum_jobs(shard_fields),
                'zones': [self._zone_fields(name) for name in self._zones],
                'shards': shard_fields,
                'unreachable_zones': [
                    zone for zone, view in views.items() if view is None
                ],
                'overrides': [
                    override for view in shard_fields for override in view['overrides']
                ],
                'past_overrides': [
                    override
                    for view in shard_fields
                    for override in view['past_overrides']
                ],
                'unknown_outcomes': [
                    job for view in shard_fields for job in view['unknown_outcomes']
                ],
            }
        )

    async def list_overrides(self, _request: web.Request) -> web.Response:
        views = await self._describe_shards()
        overrides = [
            _OVERRIDE_ADAPTER.dump_python(override, mode='json')
            for view in views.values()
            if view is not None
            for override in view.overrides
        ]
        return web.json_response({'overrides': overrides})

    async def resolve(self, request: web.Request) -> web.Response:
        override_id = request.match_info['override_id']
        try:
            action = OverrideAction(request.match_info['action'])
        except ValueError:
            return bad_request('the action must be "adopt" or "revert"')
        author = request.query.get('author', 'unknown')
        resolution = OverrideResolution(override_id, action, author)
        unresolved: Failure | None = None
        for zone in self._zones:
            resolved = await self._shards.of_zone(zone).resolve_override(resolution)
            if isinstance(resolved, Ok):
                override_fields = _OVERRIDE_ADAPTER.dump_python(
                    resolved.ok_value, mode='json'
                )
                return web.json_response({'override': override_fields})
            failure = resolved.err_value
            if failure.verdict is Verdict.OUTCOME_UNKNOWN:
                return shard_failure_response(failure)
            if reason_of(failure) is not FailureReason.UNKNOWN_OVERRIDE:
                # The override may belong to this zone.
                unresolved = failure
        if unresolved is not None:
            return shard_failure_response(unresolved)
        return not_found(
            f'there is no open override {override_id}',
            'list the open ones with chiveworks status',
        )

    async def _describe_shards(self) -> dict[ZoneName, ShardView | None]:
        described = await asyncio.gather(
            *(self._shards.of_zone(zone).describe_shard() for zone in self._zones)
        )
        return {
            zone: None if isinstance(view, Err) else view.ok_value
            for zone, view in zip(self._zones, described, strict=True)
        }

    def _services(self) -> list[dict[str, object]]:
        return [
            {
                'name': entry.name,
                'owner': entry.owner,
                'tenant': entry.tenant,
                'response_target_ms': entry.response_target_ms,
                **self._monitor.describe(entry.name, entry.response_target_ms),
            }
            for entry in self._replica.entries()
            if entry.service_class is ServiceClass.LATENCY_CRITICAL
        ]

    def _zone_fields(self, name: ZoneName) -> dict[str, object]:
        switch = self._replica.zone_switch(name)
        return dict(zone_fields(name, switch, self._replica))


def _sum_jobs(shards: list[dict[str, Any]]) -> list[dict[str, object]]:
    """Returns the number of jobs in each state over all shards."""
    counts: Counter[str] = Counter()
    for shard in shards:
        for job_count in shard['job_counts']:
            counts[job_count['state']] += job_count['count']
    return [{'state': state, 'count': counts[state]} for state in sorted(counts)]
