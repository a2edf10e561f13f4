"""Replays a scheduler that has more work than it has time for."""

from datetime import timedelta

from chiveworks.base import Resources
from chiveworks.dispatch._assigner import ROUND_BUDGET
from chiveworks.dispatch._load_meter import MAX_PAUSE, LoadMeter
from chiveworks.dispatch._worker_session import POLL_GAP
from chiveworks.dispatch.tests.deployment import QUEUE, start_leader
from chiveworks.workflow import QueuePolicy, StepSpec

#: Time that the assignment of one step takes on the slow instance.
STEP_COST = timedelta(milliseconds=25)
WIDE = Resources(3000, 1)
CORE = Resources(1000, 1)
LATER_QUEUE = QueuePolicy('later', 'pool', priority=1, attempt_limit=3)


def make_slow(deployment):
    """Makes the assignment of each step take time on the clock."""
    assigner = deployment.leaders['a'].scheduler._assigner
    assign_run = assigner._assign_run
    lengths = []

    def assign_slowly(*arguments):
        deployment.clock.shift(STEP_COST)
        return assign_run(*arguments)

    assign = assigner.assign

    def measure():
        began_at = deployment.clock.monotonic()
        claimed = assign()
        lengths.append(deployment.clock.monotonic() - began_at)
        return claimed

    assigner._assign_run = assign_slowly
    assigner.assign = measure
    return lengths


async def test_a_round_of_assignment_ends_in_time_and_is_continued(deployment):
    """Guards against rounds as long as the backlog, which delay reports and renewals:
    40 steps do not fit, each of which takes time to try, and one that fits comes last.
    """
    await start_leader(deployment)
    lengths = make_slow(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
    await deployment.submit('busy0', StepSpec(1, WIDE))
    await deployment.submit('busy1', StepSpec(1, WIDE))
    for number in range(40):
        # Labels keep the steps from being passed over as equal to one that did not fit.
        spec = StepSpec(1, WIDE, worker_limit=1)
        await deployment.submit(f'waits{number}', spec, queue=QUEUE)
    await deployment.submit('fits', StepSpec(1, CORE), queue=LATER_QUEUE)
    await deployment.wait(4)
    assert ('fits', 0, 0, 0) in [tuple(ref) for ref in deployment.starts()]
    assert max(lengths) <= ROUND_BUDGET + STEP_COST


def test_pauses_between_polls_grow_with_the_lag_and_shrink_again():
    """Guards against a scheduler that polls as often as ever while it falls behind."""
    meter = LoadMeter()
    assert meter.stretch(POLL_GAP) == POLL_GAP
    for _ in range(50):
        meter.observe(timedelta(seconds=1))
    assert meter.stretch(POLL_GAP) == MAX_PAUSE
    for _ in range(50):
        meter.observe(timedelta())
    assert meter.stretch(POLL_GAP) < POLL_GAP + timedelta(milliseconds=1)
