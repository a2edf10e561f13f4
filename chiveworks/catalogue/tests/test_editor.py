"""Guards against edits with lost updates, wrong verdicts or lost history."""

from typing import Any

import pytest
from result import Err, Ok

from chiveworks.base import (
    EntryName,
    Failure,
    Revision,
    ServiceClass,
    TenantName,
    Verdict,
    ZoneName,
)
from chiveworks.catalogue import (
    CatalogueEditor,
    CatalogueEntry,
    CatalogueReplica,
    EditConflict,
    FieldChange,
    ZoneState,
)
from chiveworks.catalogue.tests.fake_store import (
    STORE_DOWN,
    AutoAdvanceClock,
    FakeStore,
)

NAME = EntryName('recalc')
ABSENT = Revision(0)


def make_entry(**fields: Any) -> CatalogueEntry:
    return CatalogueEntry(
        name=NAME,
        owner='billing',
        tenant=TenantName('quimperle'),
        service_class=ServiceClass.BATCH,
        **fields,
    )


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def replica():
    return CatalogueReplica()


@pytest.fixture
def editor(store, replica):
    return CatalogueEditor(store, replica, AutoAdvanceClock())


async def test_of_two_editors_from_one_revision_one_gets_a_conflict(store, editor):
    """Guards against a lost update when two operators edit the same revision."""
    other = CatalogueEditor(store, CatalogueReplica(), AutoAdvanceClock())
    first = (await editor.apply(make_entry(), ABSENT, 'ana')).unwrap()

    async def write_concurrently():
        (await other.apply(make_entry(slots=4), first, 'bob')).unwrap()

    store.before_write = write_concurrently
    outcome = await editor.apply(make_entry(slots=2), first, 'ana')
    assert outcome == Err(
        EditConflict(
            f'config/entries/{NAME}',
            first,
            Revision(store.revision),
            (FieldChange('slots', 4, 2),),
        )
    )
    late = await editor.apply(make_entry(slots=2), first, 'ana')
    assert late == outcome


@pytest.mark.parametrize(
    'faults',
    [['lose_answer'], ['lose_request'], ['late'], ['lose_request', 'lose_answer']],
)
async def test_lost_response_is_resolved_by_reading_back(
    store, replica, editor, faults
):
    """Guards against a failure or a second write when a write gets no response."""
    store.faults = faults
    assert await editor.apply(make_entry(), ABSENT, 'ana') == Ok(1)
    assert store.revision == 1
    assert replica.entry(NAME) == make_entry()
    assert replica.revision == 0


async def test_accepted_write_is_recognized_under_a_later_one(store, editor):
    """Guards against a conflict for a write that was applied and then replaced."""
    other = CatalogueEditor(store, CatalogueReplica(), AutoAdvanceClock())
    store.faults = ['lose_answer']
    plain_fetch = store.fetch

    async def fetch_after_the_other_wrote(key):
        if store.revision == 1:
            store.fetch = plain_fetch
            (await other.apply(make_entry(slots=4), Revision(1), 'bob')).unwrap()
        return await plain_fetch(key)

    store.fetch = fetch_after_the_other_wrote
    assert await editor.apply(make_entry(), ABSENT, 'ana') == Ok(1)
    assert store.revision == 2


async def test_outcome_is_unknown_only_when_reading_back_fails(store, editor):
    """Guards against a definite verdict on a write that cannot be confirmed."""
    real_swap = store.compare_and_swap

    async def swap_then_fail_reads(*arguments):
        store.failing_reads = 3
        return await real_swap(*arguments)

    store.compare_and_swap = swap_then_fail_reads
    store.faults = ['lose_answer']
    outcome = await editor.apply(make_entry(), ABSENT, 'ana')
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, Failure)
    assert outcome.err_value.verdict is Verdict.OUTCOME_UNKNOWN


async def test_unreadable_store_means_not_run(store, editor):
    """Guards against an unknown outcome when the read before the write failed."""
    store.failing_reads = 1
    outcome = await editor.apply(make_entry(), ABSENT, 'ana')
    assert outcome.err_value.verdict is STORE_DOWN.verdict is Verdict.NOT_RUN
    assert not store.rows


async def test_deletion_keeps_the_history_and_allows_a_new_creation(
    store, replica, editor
):
    """Guards against a deletion that loses versions or blocks the name."""
    revision = ABSENT
    for slots in range(1, 26):
        entry = make_entry(slots=slots)
        revision = (await editor.apply(entry, revision, f'author{slots}')).unwrap()
    deleted_at = (await editor.delete(NAME, revision, 'ana')).unwrap()
    assert replica.entry(NAME) is None
    again = await editor.delete(NAME, ABSENT, 'ana')
    assert again.is_err()
    assert (await editor.apply(make_entry(), ABSENT, 'bob')).is_ok()
    versions = (await editor.history(NAME)).unwrap()
    assert len(versions) == 20
    assert [(version.author, version.document is None) for version in versions[:3]] == [
        ('bob', False),
        ('ana', True),
        ('author25', False),
    ]
    assert versions[1].revision == deleted_at


async def test_zone_switch_records_who_why_and_when(replica, editor):
    """Guards against a lost reason and a stale edit that brings a zone back."""
    zone = ZoneName('laita')
    assert (await editor.set_zone(zone, ZoneState.OUT, 'ana', 'flood')).is_ok()
    assert not replica.is_in_service(zone)
    assert replica.zone_switch(zone).reason == 'flood'
    stale = await editor.set_zone(
        zone, ZoneState.IN_SERVICE, 'bob', expected=Revision(9)
    )
    assert isinstance(stale.err_value, EditConflict)
    assert (await editor.set_zone(zone, ZoneState.IN_SERVICE, 'bob')).is_ok()
    assert replica.is_in_service(zone)
