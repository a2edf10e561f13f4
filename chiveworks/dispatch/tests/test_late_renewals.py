"""Tests a leader whose term is renewed after its validity has ended."""

from datetime import timedelta

from result import Err

from chiveworks.base import Failure, JobId, Resources, Step
from chiveworks.dispatch._scheduler import TICK_INTERVAL
from chiveworks.dispatch.tests.deployment import QUEUE, start_leader
from chiveworks.metastore._candidacy import LEADER_TTL
from chiveworks.metastore._term import VALIDITY_MARGIN
from chiveworks.workflow import JobSpec, JobState, StepSpec, Submission

CORE = Resources(1000, 1)


async def test_a_stop_is_not_given_up_while_a_renewal_is_late(deployment):
    """Guards against runs of a cancelled job that continue for good under one leader:
    its term is invalid until the response to a renewal arrives, and a stop that would
    be sent again at that time is not."""
    renewals = _delay_renewals(deployment)
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
        runner.lose_stops = True
    names = [f'j{number}' for number in range(7)]
    for name in names:
        await deployment.submit(name, StepSpec(1, CORE, long_running=True))
    # Each stop is repeated at intervals of 100 ms, and each begins 15 ms after the one
    # before it, so that the repetition of at least one falls into any 20 ms.
    for name in names:
        deployment.spawn(deployment.intake.cancel(JobId(name)))
        await deployment.wait(0.015)
    await _schedule_late_renewal(deployment, renewals)
    await deployment.wait(2)
    for runner in deployment.runners.values():
        runner.lose_stops = False
    await deployment.wait(5)
    assert len(deployment.starts()) == len(names)
    assert not any(runner.running for runner in deployment.runners.values())


async def test_a_start_is_not_given_up_while_a_renewal_is_late(deployment):
    """Guards against claimed tasks that are neither started nor claimed again: the
    term is invalid until the response to a renewal arrives, and a start that would be
    sent again at that time is not."""
    renewals = _delay_renewals(deployment)
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner.lose_starts = True
    invalid_from = await _schedule_late_renewal(deployment, renewals)
    lead = invalid_from - deployment.clock.monotonic()
    await deployment.wait(lead.total_seconds() - 0.2)
    # Each start is repeated at intervals of 100 ms, and each begins 15 ms after the one
    # before it, so that the repetition of at least one falls into any 20 ms.
    names = [f'j{number}' for number in range(7)]
    for name in names:
        spec = JobSpec('payload', (StepSpec(1, CORE),))
        accepted_at = deployment.clock.now()
        submission = Submission(JobId(name), QUEUE, spec, accepted_at=accepted_at)
        deployment.spawn(deployment.intake.submit(submission))
        await deployment.wait(0.015)
    assert deployment.clock.monotonic() < invalid_from
    await deployment.wait(2)
    for runner in deployment.runners.values():
        runner.lose_starts = False
    await deployment.wait(5)
    states = {name: await deployment.state(name) for name in names}
    assert set(states.values()) == {JobState.COMPLETED}, states


async def test_periodic_checks_go_on_after_a_late_renewal(deployment):
    """Guards against a leader that places tasks but no longer stops the runs of a
    draining worker: its periodic checks ended while the term was invalid, and the
    response to a renewal made the term valid again."""
    renewals = _delay_renewals(deployment)
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
    await deployment.submit('j', StepSpec(1, CORE, long_running=True))
    # A periodic check takes place 25 ms after the term became invalid.
    await _schedule_late_renewal(deployment, renewals, late_by_ms=27)
    await deployment.wait(3)
    name = next(n for n, runner in deployment.runners.items() if runner.running)
    deployment.change_worker(name, draining=True, remaining=timedelta(seconds=2))
    await deployment.wait(3)
    assert not deployment.runners[name].running


class _DelayedRenewals:
    """Renewals of store leases whose responses take time.

    Attributes:
        sent_at: When the last renewal with a response was sent.
        refused_until: Until when renewals are refused.
        answered_from: Earliest time of a response.
    """

    def __init__(self, deployment):
        self.sent_at = timedelta()
        self.refused_until = timedelta()
        self.answered_from = timedelta()
        self._clock = deployment.clock
        self._renew = deployment.store.renew_lease

    async def renew(self, lease):
        """Renews a lease immediately and responds after 25 ms or later."""
        sent_at = self._clock.monotonic()
        if sent_at < self.refused_until:
            return Err(Failure.not_run(Step.STORE_WRITE, 'store', 'refused'))
        result = await self._renew(lease)
        delay = max(timedelta(milliseconds=25), self.answered_from - sent_at)
        await self._clock.sleep(delay)
        self.sent_at = sent_at
        return result


def _delay_renewals(deployment):
    renewals = _DelayedRenewals(deployment)
    deployment.store.renew_lease = renewals.renew
    return renewals


async def _schedule_late_renewal(deployment, renewals, late_by_ms=20):
    """Makes the term invalid until a response arrives; returns from when."""
    # The periodic checks, which would end the term, take place at multiples of 50 ms.
    while renewals.sent_at % TICK_INTERVAL != TICK_INTERVAL / 2:
        await deployment.wait(0.05)
    invalid_from = renewals.sent_at + LEADER_TTL - VALIDITY_MARGIN
    renewals.refused_until = invalid_from - timedelta(milliseconds=200)
    renewals.answered_from = invalid_from + timedelta(milliseconds=late_by_ms)
    return invalid_from
