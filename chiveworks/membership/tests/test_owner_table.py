"""Tests of the owner table with records in any order."""

from hypothesis import given, settings
from hypothesis import strategies as st

from chiveworks import membership as m
from chiveworks.base import EntryId, Epoch
from chiveworks.membership.tests.support import OTHER_ZONE, ZONE, owner_table

RECORDS = st.lists(
    st.builds(
        m.OwnerRecord,
        zone=st.sampled_from([ZONE, OTHER_ZONE]),
        epoch=st.integers(1, 4).map(Epoch),
        owner=st.sampled_from([EntryId('e1'), EntryId('e2')]),
        peer_address=st.just('127.0.0.1:1'),
    ),
    max_size=8,
)


@settings(derandomize=True)
@given(RECORDS, st.randoms(use_true_random=False))
def test_highest_epoch_wins_in_any_order(records, random):
    """A delayed record of a former owner must not redirect calls to it."""
    shuffled = records[:]
    random.shuffle(shuffled)
    one, other = m.OwnerTable(), m.OwnerTable()
    one.update(records)
    for record in shuffled:
        other.update([record])
    for zone in (ZONE, OTHER_ZONE):
        of_zone = [record for record in records if record.zone == zone]
        assert one.find(zone) == max(of_zone, default=None)
    assert one.records() == other.records()
    assert one.digest == other.digest
    assert one.update(shuffled) == ()


def test_different_tables_have_different_digests():
    """With equal digests, peers would not exchange tables that differ."""
    tables = [m.OwnerTable(), owner_table('a:1', epoch=1), owner_table('a:1', epoch=2)]
    assert len({table.digest for table in tables}) == 3
