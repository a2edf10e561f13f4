"""Fencing of writes, election and replicas of the metadata store."""

import asyncio
from datetime import timedelta

import pytest

from chiveworks.base import EntryId, ManualClock
from chiveworks.events import EventLog
from chiveworks.metastore import Election, Replica, Term, TermLostError
from standins.metadata import MemoryMetadataStore

SECOND = timedelta(seconds=1)


class QuietLog(EventLog):
    def __init__(self, clock):
        super().__init__(clock, {})
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))


class Site:
    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryMetadataStore(self.clock)
        self.log = QuietLog(self.clock)
        self.tasks = []

    def election(self, name):
        election = Election(
            self.store, self.clock, self.log, EntryId(name), timedelta()
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
async def site():
    created = Site()
    yield created
    for task in created.tasks:
        task.cancel()
    await asyncio.gather(*created.tasks, return_exceptions=True)


async def test_a_write_applied_late_does_not_undo_a_later_one(site):
    """Guards against a store that applies an unanswered write seconds later."""
    term = await site.elect()
    site.store.faults.delay_writes = 1
    first = site.run(term.write({'k': b'old'}))
    await site.clock.advance(SECOND / 10)
    assert first.done()
    await term.write({'k': b'new'})
    assert all(hasattr(outcome, 'items') for outcome in site.store.apply_delayed())
    assert site.store.items['k'].content == b'new'


async def test_an_unanswered_write_that_was_applied_counts_as_done(site):
    """Guards against a leader that steps down because of its own write."""
    term = await site.elect()
    site.store.faults.lose_answers = 1
    write = site.run(term.write({'k': b'x'}))
    await site.clock.advance(SECOND / 10)
    assert write.done() and not term.lost.is_set()
    await term.write({'k': b'y'})
    assert site.store.items['k'].content == b'y'


async def test_a_former_leader_cannot_write(site):
    """Guards against two leaders after a lease was revoked unseen."""
    former = await site.elect('a')
    site.store.revoke(1)
    later = await site.elect('b')
    assert later.token > former.token
    with pytest.raises(TermLostError):
        await former.write({'k': b'x'})


async def test_a_suspended_leader_is_not_valid_when_it_wakes(site):
    """Guards against orders of a process that was suspended past its lease."""
    term = await site.elect()
    assert term.valid
    site.clock.shift(2 * SECOND)
    assert not term.valid


async def test_another_process_leads_after_the_lease_has_ended(site):
    """Guards against a vacancy that nobody notices."""
    first = await site.elect('a')
    second = site.run(site.election('b').campaign())
    await site.clock.advance(SECOND / 2)
    assert not second.done()
    await site.clock.advance(SECOND)
    assert second.result().token > first.token


async def test_a_revoked_key_ends_the_term_though_renewals_succeed(site):
    """Guards against a store that removes lease keys without showing it."""
    election = site.election('a')
    campaign = site.run(election.campaign())
    await site.clock.advance(SECOND / 2)
    term = campaign.result()
    site.run(term.renew_until_lost())
    site.run(election.watch_term(term))
    await site.clock.advance(SECOND / 2)
    site.store.remove('chiveworks/leader/holder')
    await site.clock.advance(SECOND / 10)
    assert term.lost.is_set()


async def test_a_leader_resumes_after_an_outage_that_its_lease_outlasts(site):
    """Guards against a wait for a lease of our own that the store has kept."""
    election = site.election('a')
    campaign = site.run(election.campaign())
    await site.clock.advance(SECOND / 2)
    first = campaign.result()
    first.end('not renewed in time')
    again = site.run(election.campaign())
    await site.clock.advance(SECOND / 4)
    resumed = again.result()
    site.run(election.watch_term(resumed))
    site.run(resumed.renew_until_lost())
    await site.clock.advance(SECOND)
    assert resumed.valid and resumed.token > first.token
    with pytest.raises(TermLostError):
        await first.write({'k': b'x'})


async def test_an_election_resolves_an_unanswered_acquisition(site):
    """Guards against a lost answer that leaves the leader key without a leader."""
    site.store.faults.lose_answers = 1
    term = await site.elect()
    assert term.valid


async def test_a_replica_notices_removals_in_lost_history(site):
    """Guards against entries that were removed while the history was lost."""
    site.store.put('p/a', b'1')
    site.store.put('p/b', b'2')
    replica = Replica(
        site.store, 'p/', lambda _name, content: content, site.clock, site.log
    )
    seen = []
    replica.subscribe(lambda name, entry: seen.append((name, entry)))
    site.run(replica.run())
    await site.clock.advance(SECOND)
    site.store.faults.compact = True
    site.store.remove('p/a')
    await site.clock.advance(SECOND)
    assert replica.entries == {'b': b'2'}
    assert seen[-1] == ('a', None)


async def test_a_replica_skips_entries_that_cannot_be_decoded(site):
    """Guards against an entry by a foreign writer that stops the replica."""
    replica = Replica(site.store, 'p/', lambda _n, _c: None, site.clock, site.log)
    site.store.put('p/a', b'\xff')
    site.run(replica.run())
    await site.clock.advance(SECOND)
    assert replica.synced and not replica.entries
    assert ('entry_skipped', {'key': 'p/a', 'reason': 'cannot be decoded'}) in (
        site.log.events
    )
