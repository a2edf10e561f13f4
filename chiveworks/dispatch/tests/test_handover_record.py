"""Tests of the stored times that outlive a leadership term."""

from datetime import timedelta

import msgpack
import pytest

from chiveworks.base import JobId, WorkerId
from chiveworks.dispatch._handover_record import (
    HandoverRecord,
    Quarantine,
    Stall,
    Wait,
    decode_handover,
)
from chiveworks.workflow import TaskRef

REF = TaskRef(JobId('job'), 0, 1, 2)
SECOND = timedelta(seconds=1)
RECORD = HandoverRecord(
    {JobId('job'): SECOND},
    {WorkerId('worker'): Quarantine(SECOND, 2)},
    {REF: Stall(1, 50, SECOND)},
    {REF: Wait(3, SECOND)},
)


def test_a_record_is_decoded_as_it_was_encoded():
    """Guards against times that change hands with the leader."""
    assert decode_handover(RECORD.encode()) == RECORD


def test_a_record_of_an_earlier_version_has_no_waits():
    """Guards against a record that is rejected because it lacks a newer kind of entry."""
    fields = msgpack.unpackb(RECORD.encode())
    fields.pop('waits')
    decoded = decode_handover(msgpack.packb(fields))
    assert not decoded.waits
    assert decoded.stalls == RECORD.stalls


@pytest.mark.parametrize(
    'row',
    [7, [], ['job', 0, 1, 2, 3], ['job', 0, 1, 2, 3, -1], ['job', 0, 1, 2, 3, 'x']],
)
def test_an_odd_wait_makes_the_record_unreadable(row):
    """Guards against an error in the recovery of a leader."""
    fields = msgpack.unpackb(RECORD.encode())
    fields['waits'] = [row]
    with pytest.raises(ValueError, match='cannot be read'):
        decode_handover(msgpack.packb(fields))
