"""Tests what a forecast for near workers costs behind a wide step."""

from chiveworks.base import Resources
from chiveworks.dispatch.tests.test_near_waits import FIRST, Rounds
from chiveworks.locality import NearSlots
from chiveworks.workflow._job_spec import TASK_LIMIT

#: More bookings than a round has time for: the time of one grows with those before it,
#: and 4,000 take 1 s.
BOOKING_LIMIT = 1000
CORE = Resources(1000, 1)


def test_the_tasks_of_a_wide_step_ahead_are_not_all_booked(monkeypatch):
    """Guards against rounds that take many seconds, in which the leader loses its lease:
    short tasks without a declared duration all start within the horizon of a forecast.
    """
    bookings = []
    book = NearSlots.book

    def count(slots):
        bookings.append(slots)
        # The round is not played to its end on code with the fault.
        return book(slots) if len(bookings) <= BOOKING_LIMIT else None

    monkeypatch.setattr(NearSlots, 'book', count)
    rounds = Rounds()
    (near,), (remote,) = rounds.rack('a', 1), rounds.rack('b', 1)
    rounds.occupy(near, started=1)
    rounds.occupy(remote, demand=CORE, length=60)
    rounds.submit('wide', queue=FIRST, count=TASK_LIMIT, length=0, data_rack='a')
    rounds.submit('small', demand=CORE, data_rack='a')
    rounds.play()
    assert bookings
    assert len(bookings) <= BOOKING_LIMIT
