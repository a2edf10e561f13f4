"""Guards against sending requests to endpoints that should not get any."""

from dataclasses import replace
from datetime import timedelta

import pytest

from chiveworks.base import EntryName, ManualClock, RackName, Verdict, ZoneName
from chiveworks.instances import (
    Instance,
    InstanceRole,
    InstanceSnapshot,
    InstanceState,
)
from chiveworks.routing import (
    ROUTING_POLICIES,
    AttemptEnd,
    EndpointTable,
    RetryBudget,
    Router,
    RoutingSettings,
    classify_attempt,
)

SERVICE = EntryName('compteurs')
ZONES = {
    ZoneName('laita'): timedelta(milliseconds=0.5),
    ZoneName('isole'): timedelta(milliseconds=1),
}


def listed(name: str, zone: str = 'laita') -> Instance:
    return Instance(
        name,
        InstanceRole.WORKER,
        ZoneName(zone),
        RackName(''),
        InstanceState.LIVE,
        serve_url=f'http://{name}',
        services=(SERVICE,),
        slots=8,
        connections=64,
    )


class Fixture:
    """An endpoint table and its router; zones in `out` are out of service."""

    def __init__(self, *instances: Instance, policy: str = 'two_choices') -> None:
        self.clock = ManualClock()
        self.out: set[ZoneName] = set()
        self.table = EndpointTable(
            self.clock,
            RoutingSettings(zone_latencies=ZONES),
            lambda zone: zone not in self.out,
        )
        self.table.update(InstanceSnapshot(1, instances))
        routing_policy = ROUTING_POLICIES.create(policy)
        self.router = Router(self.table, routing_policy, self.clock)

    def fill(self, count: int) -> dict[str, int]:
        """Adds `count` requests that do not end; returns the load of each endpoint."""
        for _ in range(count):
            endpoint = self.router.pick(SERVICE)
            if endpoint is not None:
                endpoint.in_flight += 1
        return {
            one.instance.instance_id: one.in_flight
            for one in self.table.endpoints(SERVICE)
        }


@pytest.mark.parametrize('policy', ROUTING_POLICIES.names())
def test_no_endpoint_gets_more_than_its_slots(policy):
    """Guards against a policy that ignores the capacity of endpoints."""
    fixture = Fixture(listed('a'), listed('b'), policy=policy)
    assert fixture.fill(30) == {'a': 8, 'b': 8}


def test_the_nearest_zone_comes_first_and_spills_over_before_it_is_full():
    """Guards against needless requests to far zones, and queues in the nearest one."""
    near = [listed(f'n{number}') for number in range(4)]
    far = [listed(f'f{number}', 'isole') for number in range(4)]
    fixture = Fixture(*far, *near)
    load = fixture.fill(12)
    assert sum(load[f'n{number}'] for number in range(4)) == 12
    for endpoint in fixture.table.endpoints(SERVICE):
        latency = timedelta(milliseconds=20)
        endpoint.record_success(fixture.clock.monotonic(), latency)
    load = fixture.fill(20)
    in_far = sum(load[f'f{number}'] for number in range(4))
    assert 0 < in_far < 20
    assert max(load.values()) < 8


def test_leaving_and_vanished_endpoints_and_zones_out_get_nothing():
    """Guards against requests to removed endpoints, also after an outdated list."""
    fixture = Fixture(listed('a'), listed('b'), listed('c', 'isole'))
    gone = replace(listed('a'), state=InstanceState.LEAVING)
    fixture.table.update(InstanceSnapshot(2, (gone, listed('c', 'isole'))))
    assert fixture.fill(4) == {'c': 4}
    fixture.table.update(InstanceSnapshot(1, (listed('a'),)))
    assert fixture.fill(1) == {'c': 5}
    fixture.out.add(ZoneName('isole'))
    assert fixture.fill(1) == {}


def test_an_announced_leave_ends_when_the_list_has_caught_up():
    """Guards against a returned endpoint that gets no requests any more."""
    fixture = Fixture(listed('a'))
    fixture.table.endpoints(SERVICE)[0].leaving = True
    fixture.table.update(InstanceSnapshot(2, (listed('a'),)))
    assert fixture.fill(1) == {}
    gone = replace(listed('a'), state=InstanceState.LEAVING)
    fixture.table.update(InstanceSnapshot(3, (gone,)))
    fixture.table.update(InstanceSnapshot(4, (listed('a'),)))
    assert fixture.fill(1) == {'a': 1}


async def test_half_of_the_endpoints_are_kept_and_ejections_grow():
    """Guards against ejecting too many endpoints, and ejections that stay short."""
    fixture = Fixture(*(listed(name) for name in 'abcde'))
    endpoints = fixture.table.endpoints(SERVICE)
    assert [fixture.table.eject(one) for one in endpoints] == [
        True,
        True,
        False,
        False,
        False,
    ]
    assert set(fixture.fill(24)) - {'a', 'b'} == {'c', 'd', 'e'}
    assert endpoints[0].in_flight == 0
    # After others left, half of the remaining endpoints must stay usable.
    fixture.table.update(InstanceSnapshot(2, (listed('a'), listed('b'))))
    assert sum(fixture.fill(3).values()) == 3
    await fixture.clock.advance(timedelta(seconds=5))
    assert fixture.table.eject(endpoints[0])
    assert endpoints[0].ejected_until == timedelta(seconds=15)


async def test_slow_start_limits_a_returned_endpoint():
    """Guards against overloading an endpoint directly after its ejection."""
    fixture = Fixture(listed('a'), listed('b'))
    endpoint = fixture.table.endpoints(SERVICE)[0]
    fixture.table.eject(endpoint)
    await fixture.clock.advance(timedelta(seconds=5))
    assert fixture.fill(20) == {'a': 1, 'b': 8}
    await fixture.clock.advance(timedelta(seconds=5))
    assert fixture.fill(20) == {'a': 4, 'b': 8}
    await fixture.clock.advance(timedelta(seconds=5))
    assert fixture.fill(20) == {'a': 8, 'b': 8}


async def test_a_slow_endpoint_is_avoided_until_its_latency_has_faded():
    """Guards against ignoring measured latency, and avoiding an endpoint for good."""
    fixture = Fixture(listed('a'), listed('b'))
    slow, fast = fixture.table.endpoints(SERVICE)
    slow.record_success(timedelta(), timedelta(milliseconds=100))
    fast.record_success(timedelta(), timedelta(milliseconds=10))
    assert fixture.fill(3) == {'a': 0, 'b': 3}
    await fixture.clock.advance(timedelta(seconds=120))
    assert fixture.fill(4)['a'] > 0


def test_a_refusal_pauses_an_endpoint_without_counting_as_failure():
    """Guards against requests to a full endpoint, and a pause that does not end."""
    fixture = Fixture(listed('a'))
    endpoint = fixture.table.endpoints(SERVICE)[0]
    endpoint.record_refusal(timedelta())
    assert fixture.router.pick(SERVICE) is None
    fixture.clock.shift(timedelta(milliseconds=20))
    assert fixture.router.pick(SERVICE) is endpoint


def test_retry_budget():
    """Guards against more retries than the share of requests plus the reserve."""
    budget = RetryBudget(share=0.1, reserve=2)
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]
    for _ in range(11):
        budget.deposit()
    assert [budget.try_spend() for _ in range(2)] == [True, False]


@pytest.mark.parametrize('end', AttemptEnd)
@pytest.mark.parametrize('idempotent', [True, False])
def test_outcome_of_a_failed_attempt(end, idempotent):
    """Guards against "not run" for a request that may have run.

    See design.md, section 6.
    """
    not_run = {
        AttemptEnd.CONNECT_FAILED,
        AttemptEnd.CONNECT_TIMEOUT,
        AttemptEnd.REFUSED,
    }
    outcome = classify_attempt(end, idempotent)
    assert (outcome.verdict is Verdict.NOT_RUN) == (end in not_run)
    assert outcome.may_retry == (idempotent or end in not_run)
