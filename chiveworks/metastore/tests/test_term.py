"""Fencing of writes, leader election and replicas of the metadata store."""

import asyncio
from datetime import timedelta

import pytest

from chiveworks.base import EntryId, ManualClock
from chiveworks.events import EventLog
from chiveworks.metastore import (
    LEADER_KEY,
    Candidacy,
    Election,
    Replica,
    Term,
    TermLostError,
)
from standins.metadata import MemoryMetadataStore

SECOND = timedelta(seconds=1)


class RecordingLog(EventLog):
    def __init__(self, clock):
        super().__init__(clock, {})
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))


class Cluster:
    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryMetadataStore(self.clock)
        self.log = RecordingLog(self.clock)
        self.tasks = []

    def election(self, name, cores=1_000_000):
        election = Election(
            self.store, self.clock, self.log, EntryId(name), Candidacy(cores)
        )
        self.run(election.leader.run())
        return election

    def run(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def elect(self, name='a') -> Term:
        campaign = self.run(self.election(name).campaign())
        await self.clock.advance(SECOND / 2)
        return campaign.result()


@pytest.fixture
async def cluster():
    created = Cluster()
    yield created
    for task in created.tasks:
        task.cancel()
    await asyncio.gather(*created.tasks, return_exceptions=True)


async def test_a_write_applied_late_does_not_undo_a_later_one(cluster):
    """Guards against an old value that a delayed write restores seconds later."""
    term = await cluster.elect()
    cluster.store.faults.delay_writes = 1
    first = cluster.run(term.write({'k': b'old'}))
    await cluster.clock.advance(SECOND / 10)
    assert first.done()
    await term.write({'k': b'new'})
    assert all(hasattr(outcome, 'items') for outcome in cluster.store.apply_delayed())
    assert cluster.store.items['k'].content == b'new'


async def test_an_applied_write_without_a_response_counts_as_done(cluster):
    """Guards against a leader that takes its own write for that of another process.

    The response to the write is lost, so its retry fails with a conflict.
    """
    term = await cluster.elect()
    cluster.store.faults.lose_answers = 1
    write = cluster.run(term.write({'k': b'x'}))
    await cluster.clock.advance(SECOND / 10)
    assert write.done() and not term.lost.is_set()
    await term.write({'k': b'y'})
    assert cluster.store.items['k'].content == b'y'


async def test_a_former_leader_cannot_write(cluster):
    """Guards against two leaders when the first does not notice its revoked lease."""
    former = await cluster.elect('a')
    cluster.store.revoke(1)
    later = await cluster.elect('b')
    assert later.token > former.token
    with pytest.raises(TermLostError):
        await former.write({'k': b'x'})


async def test_a_term_is_not_valid_after_its_process_was_suspended(cluster):
    """Guards against orders from a process that was suspended beyond its lease."""
    term = await cluster.elect()
    assert term.valid
    cluster.clock.shift(2 * SECOND)
    assert not term.valid


async def test_another_process_leads_after_the_lease_has_ended(cluster):
    """Guards against a vacancy that no other process detects."""
    first = await cluster.elect('a')
    second = cluster.run(cluster.election('b').campaign())
    await cluster.clock.advance(SECOND / 2)
    assert not second.done()
    await cluster.clock.advance(SECOND)
    assert second.result().token > first.token


async def test_a_revoked_key_ends_the_term_though_renewals_succeed(cluster):
    """Guards against a leader that is unaware that the store removed its key."""
    election = cluster.election('a')
    campaign = cluster.run(election.campaign())
    await cluster.clock.advance(SECOND / 2)
    term = campaign.result()
    cluster.run(term.renew_until_lost())
    cluster.run(election.watch_term(term))
    await cluster.clock.advance(SECOND / 2)
    cluster.store.remove('chiveworks/leader/holder')
    await cluster.clock.advance(SECOND / 10)
    assert term.lost.is_set()


async def test_a_leader_resumes_after_an_outage_that_its_lease_outlasts(cluster):
    """Guards against a former leader that waits for its own lease to expire."""
    election = cluster.election('a')
    campaign = cluster.run(election.campaign())
    await cluster.clock.advance(SECOND / 2)
    first = campaign.result()
    first.end('not renewed in time')
    again = cluster.run(election.campaign())
    await cluster.clock.advance(SECOND / 4)
    resumed = again.result()
    cluster.run(election.watch_term(resumed))
    cluster.run(resumed.renew_until_lost())
    await cluster.clock.advance(SECOND)
    assert resumed.valid and resumed.token > first.token
    with pytest.raises(TermLostError):
        await first.write({'k': b'x'})


async def test_an_election_resolves_an_acquisition_without_a_response(cluster):
    """Guards against a leader key that no process acts on after a lost response."""
    cluster.store.faults.lose_answers = 1
    term = await cluster.elect()
    assert term.valid


async def test_a_replica_detects_removals_in_compacted_history(cluster):
    """Guards against stale entries whose removal is missing from compacted history."""
    cluster.store.put('p/a', b'1')
    cluster.store.put('p/b', b'2')
    replica = Replica(
        cluster.store, 'p/', lambda _name, content: content, cluster.clock, cluster.log
    )
    seen = []
    replica.subscribe(lambda name, entry: seen.append((name, entry)))
    cluster.run(replica.run())
    await cluster.clock.advance(SECOND)
    cluster.store.faults.compact = True
    cluster.store.remove('p/a')
    await cluster.clock.advance(SECOND)
    assert replica.entries == {'b': b'2'}
    assert seen[-1] == ('a', None)


async def test_a_replica_skips_entries_that_cannot_be_decoded(cluster):
    """Guards against a replica that stops at an entry it cannot decode."""
    replica = _number_replica(cluster)
    cluster.store.put('p/a', b'\xff')
    cluster.run(replica.run())
    await cluster.clock.advance(SECOND)
    assert replica.synced and not replica.entries
    assert _skipped(cluster) == [{'key': 'p/a', 'reason': 'not a number'}]


async def test_an_entry_that_stays_odd_is_logged_once(cluster):
    """Guards against a log full of one entry that its writer rewrites all the time."""
    cluster.run(_number_replica(cluster).run())
    for content in (b'x', b'y', b'1', b'z'):
        cluster.store.put('p/a', content)
        await cluster.clock.advance(SECOND)
    assert _skipped(cluster) == [{'key': 'p/a', 'reason': 'not a number'}] * 2


async def test_an_entry_that_becomes_odd_is_removed(cluster):
    """Guards against the use of an entry that was replaced by an unreadable one."""
    replica = _number_replica(cluster)
    seen = []
    replica.subscribe(lambda name, entry: seen.append((name, entry)))
    cluster.run(replica.run())
    for content in (b'1', b'x', b'y', b'2'):
        cluster.store.put('p/a', content)
        await cluster.clock.advance(SECOND)
    assert seen == [('a', 1), ('a', None), ('a', 2)]
    assert replica.entries == {'a': 2}


async def test_the_loss_of_a_replica_names_the_reason(cluster):
    """Guards against a leader that cannot list and does not say why."""
    replica = _number_replica(cluster)
    for synced in (False, True):
        assert replica.synced is synced
        cluster.store.faults.refuse = True
        assert not await replica.step()
        cluster.store.faults.refuse = False
        assert await replica.step()
    reasons = [
        fields['reason']
        for event, fields in cluster.log.events
        if event == 'replica_lost'
    ]
    assert len(reasons) == 2
    assert all('not_run' in reason for reason in reasons)


def _number_replica(cluster):
    def decode(_name, content):
        if not content.isdigit():
            raise ValueError('not a number')
        return int(content)

    return Replica(cluster.store, 'p/', decode, cluster.clock, cluster.log)


def _skipped(cluster):
    return [fields for event, fields in cluster.log.events if event == 'entry_skipped']


async def test_a_term_is_confirmed_only_while_no_other_has_begun(cluster):
    """Guards against leases that a former leader extends from a time at which the next
    term had already begun, and against leases that end while writes are refused."""
    term = await cluster.elect()
    cluster.run(term.renew_until_lost())
    cluster.run(term.keep_confirmed())
    for _ in range(20):
        term.note_progress()
        await cluster.clock.advance(SECOND / 2)
        assert cluster.clock.monotonic() - term.confirmed_at < 3 * SECOND / 2
    cluster.store.remove(LEADER_KEY)
    removed_at = cluster.clock.monotonic()
    await cluster.elect('b')
    await cluster.clock.advance(2 * SECOND)
    assert term.confirmed_at <= removed_at
    assert not term.valid
