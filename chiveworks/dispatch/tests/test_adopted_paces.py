"""Tests the paces of filling tasks that an earlier leader may have paused."""

from chiveworks.dispatch.tests.test_interference_guard import Bench
from chiveworks.workflow import UNKNOWN_PACE


def test_tasks_of_unknown_pace_are_not_resumed_without_headroom():
    """Guards against paused tasks that all work at full pace after a change of leader,
    although the serving task has less headroom than one of them takes."""
    bench = Bench()
    for task in bench.filling:
        task.pace_percent = UNKNOWN_PACE
    assert bench.report(1.2) == [UNKNOWN_PACE] * 3
