"""Tests of a term that goes on for a moment after the store has ended it."""

from datetime import timedelta

import pytest
from result import Err

from chiveworks.base import Failure, Step
from chiveworks.dispatch.tests import test_handed_over_leases
from chiveworks.dispatch.tests.lasting_runner import add_lasting_worker
from chiveworks.dispatch.tests.test_handed_over_leases import (
    LinkedDeployment,
    StoreLink,
    check_one_run,
    start_task,
)
from chiveworks.metastore import LEADER_KEY

POLL_INTERVAL = timedelta(milliseconds=5)


class StallingLink(StoreLink):
    """Connection to the store on which calls get no response while it is stalled.

    Args:
        deployment: Deployment with the store.
        renews: Whether the lease of the leader is renewed meanwhile.
    """

    def __init__(self, deployment, *, renews):
        super().__init__(deployment)
        self.stalled = False
        self._renews = renews

    async def commit(self, transaction):
        await self._wait()
        return await super().commit(transaction)

    async def watch(self, prefix, after, wait):
        result = await self._deployment.store.watch(prefix, after, wait)
        await self._wait()
        return result

    async def read(self, key, *, stale=False):
        await self._wait()
        return await super().read(key, stale=stale)

    async def renew_lease(self, lease):
        if self.stalled and not self._renews:
            return Err(Failure.unknown(Step.STORE_WRITE, 'store', 'stalled'))
        return await self._deployment.store.renew_lease(lease)

    async def _wait(self):
        while self.stalled:
            await self._deployment.clock.sleep(POLL_INTERVAL)


@pytest.fixture
async def linked():
    created = LinkedDeployment()
    for name in ('w0', 'w1'):
        add_lasting_worker(created, name)
    yield created
    await created.close()


@pytest.mark.parametrize('renews', [True, False])
@pytest.mark.parametrize('lead_s', [0.6, 1, 1.3])
async def test_a_third_leader_waits_for_what_the_first_may_have_extended(
    linked, monkeypatch, renews, lead_s
):
    """Guards against a second run beside the first: the leader key was gone, but the
    first leader, which could not reach the store, went on extending leases."""
    link = StallingLink(linked, renews=renews)
    with monkeypatch.context() as patch:
        patch.setattr(test_handed_over_leases, 'StoreLink', lambda _linked: link)
        _first, name = await start_task(linked)
    tasks = {process: linked.add_process(process) for process in ('b', 'c')}
    linked.cuts.update((process, name) for process in tasks)
    await linked.wait(2)
    link.stalled = True
    if renews:
        linked.store.remove(LEADER_KEY)
    else:
        for lease in tuple(linked.store._leases):
            linked.store.revoke(lease)
    await check_one_run(linked, lead_s)
    (second,) = (name for name in tasks if linked.leaders[name].scheduler)
    await linked.leaders[second].resign()
    await linked.kill(tasks[second])
    await check_one_run(linked, 1.4 - lead_s)
    link.stalled = False
    await check_one_run(linked, 12)
    assert linked.running_on()


@pytest.mark.parametrize('renews', [True, False])
async def test_a_second_leader_waits_for_what_the_first_may_have_extended(
    linked, monkeypatch, renews
):
    """Guards against a second run beside the first: the store took the key of a leader
    that was cut off from it, and the next leader counted from the beginning of its own
    term, though the first extended the lease of the worker after that."""
    link = StallingLink(linked, renews=renews)
    with monkeypatch.context() as patch:
        patch.setattr(test_handed_over_leases, 'StoreLink', lambda _linked: link)
        _first, name = await start_task(linked)
    linked.add_process('b')
    linked.cuts.add(('b', name))
    await linked.wait(2)
    link.stalled = True
    linked.store.remove(LEADER_KEY)
    await check_one_run(linked, 12)
    assert linked.running_on() not in ([], [name])
