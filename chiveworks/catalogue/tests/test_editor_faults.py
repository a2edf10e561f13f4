"""Guards against wrong verdicts of edits under random races and faults."""

import asyncio
import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from chiveworks.base import (
    EntryName,
    Failure,
    Revision,
    ServiceClass,
    TenantName,
    Verdict,
)
from chiveworks.catalogue import CatalogueEditor, CatalogueEntry, CatalogueReplica
from chiveworks.catalogue.tests.fake_store import AutoAdvanceClock, FakeStore

NAME = EntryName('recalc')
FAULTS = ['', '', 'lose_answer', 'lose_request', 'late']


class RecordingStore(FakeStore):
    """Store that records the author and revision of every applied write."""

    def __init__(self):
        super().__init__()
        self.written: list[tuple[str, int]] = []

    async def _write(self, key, value, expected):
        await asyncio.sleep(0)
        outcome = await super()._write(key, value, expected)
        if outcome.is_ok():
            self.written.append((json.loads(value)['author'], outcome.ok_value))
        return outcome


async def edit_repeatedly(store, author_prefix, rnd, outcomes):
    editor = CatalogueEditor(store, CatalogueReplica(), AutoAdvanceClock())
    for number in range(6):
        current = await editor.current(NAME)
        version = current.ok()
        base = version.revision if version else Revision(0)
        store.faults = [rnd.choice(FAULTS) for _ in range(3)]
        store.failing_reads = rnd.choice([0] * 9 + [1, 2, 3, 4])
        author = f'{author_prefix}{number}'
        if rnd.random() < 0.2:
            outcomes[author] = await editor.delete(NAME, base, author)
            continue
        entry = CatalogueEntry(
            name=NAME,
            owner='o',
            tenant=TenantName('t'),
            service_class=ServiceClass.BATCH,
        )
        outcomes[author] = await editor.apply(entry, base, author)


async def run_editors(rnd):
    store = RecordingStore()
    outcomes: dict[str, Any] = {}
    await asyncio.gather(
        *(
            edit_repeatedly(store, author_prefix, rnd, outcomes)
            for author_prefix in ('ana', 'bob')
        )
    )
    for late in store.late:
        await store._write(*late)
    return store.written, outcomes


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.randoms(use_true_random=False))
def test_accepted_edits_took_effect_once_and_refused_ones_never(rnd):
    written, outcomes = asyncio.run(run_editors(rnd))
    for author, outcome in outcomes.items():
        effects = [revision for writer, revision in written if writer == author]
        refused = outcome.err()
        if outcome.is_ok():
            assert effects == [outcome.ok_value]
        elif (
            isinstance(refused, Failure) and refused.verdict is Verdict.OUTCOME_UNKNOWN
        ):
            assert len(effects) <= 1
        else:
            assert not effects
