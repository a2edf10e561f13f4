"""Odd entries of workers and operators must cost nothing but the entry itself."""

import json
from dataclasses import replace
from datetime import timedelta

import pytest

from chiveworks.base import JobId, ManualClock, Resources
from chiveworks.dispatch import OrderOutcome
from chiveworks.dispatch.tests.deployment import (
    InMemoryDeployment,
    RecordingLog,
    start_leader,
)
from chiveworks.metastore import Replica
from chiveworks.platform._decoding import decode_operator_entry, decode_worker
from chiveworks.platform._worker_client import HttpWorker
from chiveworks.workflow import JobState, StepSpec, TaskRef
from standins.metadata import MemoryMetadataStore

SECOND = timedelta(seconds=1)
NESTED = b'[' * 100_000
WORKER = {
    'service': 'pool',
    'address': '10.0.0.1:80',
    'zone': 'zone',
    'state': 'ready',
    'clock_ms': 0,
    'capacity': {'cpu': 4000, 'mem_mb': 65536},
    'labels': ['a', 'r1-3'],
    'born': 1,
}


def worker_entry(**fields):
    return json.dumps({**WORKER, **fields}).encode()


WORKER_INFO = decode_worker('w', worker_entry())
REF = TaskRef(JobId('5c0e7a21d94b36f8'), 0, 0, 0)
#: Entries of other writers that name no worker, and the start of the logged reason.
ODD_WORKERS = {
    'nested': (NESTED, 'the JSON is nested too deeply'),
    'not-utf-8': (b'{"state":"ready","zone":"\xe9"}', 'not JSON'),
    'long-integer': (b'{"born":%s}' % (b'9' * 5000), 'not JSON'),
    'list': (b'[]', 'not an object'),
    'port-out-of-range': (worker_entry(address='10.0.0.9:99999'), 'address'),
    'negative-port': (worker_entry(address='10.0.0.9:-1'), 'address'),
    'long-port': (worker_entry(address=f'10.0.0.9:{9**30}'), 'address'),
    'no-port': (worker_entry(address='10.0.0.9'), 'address'),
    'no-host': (worker_entry(address=':80'), 'address'),
    'open-bracket': (worker_entry(address='[::1:80'), 'address'),
    'empty-label': (worker_entry(address='a..b:80'), 'address'),
    'long-label': (worker_entry(address='a' * 64 + ':80'), 'address'),
    'surrogate': (worker_entry(address='\ud800:80'), 'address'),
    'line-break': (worker_entry(address='a\r\nb:80'), 'address'),
    'address-number': (worker_entry(address=5), 'address'),
    'address-null': (worker_entry(address=None), 'address'),
    'service-list': (worker_entry(service=['pool']), 'service'),
    'zone-number': (worker_entry(zone=1), 'zone'),
    'state-list': (worker_entry(state=['ready']), 'state'),
    'unknown-state': (worker_entry(state='asleep'), 'state'),
    'negative-capacity': (worker_entry(capacity={'cpu': -1}), 'cpu'),
    'huge-capacity': (worker_entry(capacity={'cpu': 10**400}), 'cpu'),
    'infinite-capacity': (worker_entry(capacity={'mem_mb': float('inf')}), 'mem_mb'),
    'bool-capacity': (worker_entry(capacity={'gpu': True}), 'gpu'),
    'capacity-list': (worker_entry(capacity=[4000]), 'capacity'),
    'infinite-clock': (worker_entry(clock_ms=float('inf')), 'clock_ms'),
    'huge-clock': (worker_entry(clock_ms=10**17), 'clock_ms'),
    'text-remaining': (worker_entry(remaining_ms='soon'), 'remaining_ms'),
    'nan-remaining': (worker_entry(remaining_ms=float('nan')), 'remaining_ms'),
    'text-born': (worker_entry(born='today'), 'born'),
    'huge-born': (worker_entry(born=10**400), 'born'),
    'labels-text': (worker_entry(labels='ab'), 'labels'),
    'labels-number': (worker_entry(labels=5), 'labels'),
    'label-list': (worker_entry(labels=['a', ['r']]), 'labels'),
}


class ListedDeployment(InMemoryDeployment):
    """Deployment whose leader decodes the workers' entries as on the platform.

    Workers without a stand-in are called over HTTP.
    """

    def __init__(self):
        super().__init__(workers=0)
        for number in range(2):
            name = f'w{number}'
            self.add_worker(name)
            self.store.put(
                f'servers/{name}', worker_entry(address=f'10.0.0.{number}:80')
            )
            self.runners[f'10.0.0.{number}:80'] = self.runners.pop(name)

    def _create_scheduler(self, term):
        scheduler = super()._create_scheduler(term)
        scheduler.fleet._connect = self._connect
        return scheduler

    def _connect(self, info):
        return self.runners.get(info.address) or HttpWorker(info)

    def _follow_workers(self):
        return Replica(self.store, 'servers/', decode_worker, self.clock, self.log)


@pytest.fixture
async def listed():
    created = ListedDeployment()
    yield created
    await created.close()


def odd_workers():
    return [pytest.param(*case, id=name) for name, case in ODD_WORKERS.items()]


@pytest.mark.parametrize(('content', 'reason'), odd_workers())
async def test_an_odd_worker_entry_does_not_end_the_term(listed, content, reason):
    """Guards against a process that loses each of its terms to one entry."""
    listed.store.put('servers/odd', content)
    process = await start_leader(listed)
    listed.store.put('servers/odd', content)
    await listed.wait(2)
    assert not process.done()
    assert not listed.log.named('child_failed')
    assert len(listed.log.named('leadership_gained')) == 1
    assert set(listed.leaders['a'].scheduler.fleet.workers) == {'w0', 'w1'}
    await listed.submit('j', StepSpec(8, Resources(1000, 1)))
    await listed.wait(3)
    assert await listed.state('j') is JobState.COMPLETED
    skipped = listed.log.named('entry_skipped')
    assert [line['key'] for line in skipped] == ['servers/odd']
    assert skipped[0]['reason'].startswith(reason)


@pytest.mark.parametrize(('content', '_reason'), odd_workers())
async def test_a_worker_whose_entry_becomes_odd_gets_no_further_starts(
    listed, content, _reason
):
    """Guards against starts on a worker that the list no longer describes.

    Its entry may say that the worker drains.
    """
    await start_leader(listed)
    listed.store.put('servers/w0', content)
    await listed.wait(0.5)
    await listed.submit('j', StepSpec(4, Resources(1000, 1)))
    await listed.wait(3)
    assert await listed.state('j') is JobState.COMPLETED
    assert not listed.runners['10.0.0.0:80'].history
    listed.store.put('servers/w0', worker_entry(address='10.0.0.0:80'))
    await listed.wait(1)
    await listed.submit('k', StepSpec(8, Resources(1000, 1)))
    await listed.wait(0.5)
    assert listed.runners['10.0.0.0:80'].history


@pytest.mark.parametrize('name', ['', 'a\r\nb', 'a b', '\xe9', '\ud800', 'w' * 201])
def test_a_worker_with_an_odd_id_is_skipped(name):
    """Guards against an id that cannot be sent in a header or stored with a claim."""
    with pytest.raises(ValueError, match='id'):
        decode_worker(name, worker_entry())


async def test_a_client_reports_an_address_that_cannot_be_called():
    """Guards against an exception in the session of a worker, which ends the term."""
    worker = HttpWorker(replace(WORKER_INFO, address='[::1:99999'))
    result = await worker.poll(1, 0, None, timedelta())
    assert str(result.err_value).startswith('not_run (connect')
    assert await worker.stop(REF, 1, 1) is OrderOutcome.UNHEALTHY
    await worker.close()


async def test_operator_entries_are_followed_past_one_that_cannot_be_decoded():
    """Guards against a process that never sees a later configuration or evacuation."""
    clock = ManualClock()
    store, log = MemoryMetadataStore(clock), RecordingLog(clock)
    replica = Replica(store, 'op/', decode_operator_entry, clock, log)
    store.put('op/config', NESTED)
    store.put('op/evacuate/z', NESTED)
    assert await replica.step()
    assert replica.entries == {'evacuate/z': 'evacuate/z'}
    store.put('op/config', b'{"version":7,"routes":[],"services":[]}')
    assert await replica.step()
    assert replica.entries['config'].version == 7
    assert log.named('entry_skipped') == [
        {'key': 'op/config', 'reason': 'the JSON is nested too deeply'}
    ]
