"""Decides which jobs are refused because no worker could ever run them."""

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from chiveworks.accounts import ClientAccount, gang_fits
from chiveworks.base import Clock
from chiveworks.capacity import CapacityRecord
from chiveworks.workflow import JobSpec

#: Maximum age of what is known from the store. A replica's watch returns after 1.5 s
#: at the latest.
MAX_AGE: Final = timedelta(milliseconds=2500)


class CapacityCheck:
    """Compares jobs with the workers that the current leader has published.

    The load pattern that it answers: a few clients keep submitting jobs that cannot
    run, which would wait for ever, in the way of the questions how many jobs wait, and
    without their clients learning of it. Any doubt is decided in favour of the job: it
    is refused only if the record is that of the present leader, the contact with the
    store is recent, and the service is in the record.

    Args:
        clock: Source of time.
        contact_at: Returns the time since which the knowledge of the leader, its
            record and the configuration is complete.
        account_overrun: Share by which the deployment allows the limits of accounts to
            be exceeded.

    Attributes:
        leader_value: Content of the leader key; None if there is no leader.
        record: Latest record; None if there is none that can be read.
    """

    def __init__(
        self,
        clock: Clock,
        contact_at: Callable[[], timedelta],
        account_overrun: float = 0,
    ) -> None:
        self._clock = clock
        self._contact_at = contact_at
        self._account_overrun = account_overrun
        self.leader_value: str | None = None
        self.record: CapacityRecord | None = None

    def refusal_reason(self, spec: JobSpec, service: str) -> str:
        """Returns why a job can never run; empty if it can or if that is not known."""
        record = self.record
        if record is None or record.leader_value != self.leader_value:
            return ''
        if self._is_outdated():
            return ''
        capacity = record.services.get(service)
        if capacity is None or not capacity.counts or self._begins_later(spec):
            return ''
        for position, step in enumerate(spec.steps):
            reason = capacity.refusal_reason(step)
            if reason:
                return f'step {position} cannot run on service {service}: {reason}'
        return ''

    def limit_refusal_reason(self, spec: JobSpec, account: ClientAccount | None) -> str:
        """Returns why the limit of a job's account never lets it run; empty otherwise.

        Only a gang can be concerned, since each task may run by itself.
        """
        if account is None or self._is_outdated() or self._begins_later(spec):
            return ''
        for position, step in enumerate(spec.steps):
            fits = gang_fits(account, step.demand, step.count, self._account_overrun)
            if step.gang and not fits:
                return (
                    f'step {position} cannot run: its {step.count} tasks together '
                    f'exceed the limit of account {account.name}'
                )
        return ''

    def _is_outdated(self) -> bool:
        return self._clock.monotonic() - self._contact_at() > MAX_AGE

    def _begins_later(self, spec: JobSpec) -> bool:
        # Larger workers may have been added by then.
        recurrence = spec.recurrence
        return recurrence is not None and recurrence.first_due > self._clock.now()
