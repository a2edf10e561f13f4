"""Access to the jobs of all zones from any entry process."""

from datetime import timedelta

from numpy.random import Generator
from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, JobId, Step, TenantName, Verdict, ZoneName
from chiveworks.catalogue import CatalogueReplica
from chiveworks.jobs import JobRecord, JobStore, content_digest_of, job_id_of
from chiveworks.membership import (
    FailureReason,
    JobRegistration,
    JobSubmission,
    JobView,
    ShardClient,
    ShardFailure,
    reason_of,
)

#: A lookup is retried because the job may move to another zone meanwhile.
_LOOKUP_ATTEMPTS = 5
_LOOKUP_RETRY_DELAY = timedelta(milliseconds=500)


class JobGateway:
    """Finds a job's home zone and calls the owner of that zone's shard."""

    def __init__(
        self,
        zone: ZoneName,
        zones: tuple[ZoneName, ...],
        job_store: JobStore,
        shards: ShardClient,
        replica: CatalogueReplica,
        random: Generator,
        clock: Clock,
    ) -> None:
        self._zone = zone
        self._zones = zones
        self._job_store = job_store
        self._shards = shards
        self._replica = replica
        self._random = random
        self._clock = clock

    async def submit(
        self, submission: JobSubmission
    ) -> Result[JobRegistration, Failure]:
        """Registers a job, or returns the existing job with the same key."""
        failure: Failure = _job_moving(submission.key)
        for _ in range(_LOOKUP_ATTEMPTS):
            fetched = await self._job_store.fetch(job_id_of(submission))
            if isinstance(fetched, Err):
                return Err(_store_unreadable(fetched.err_value))
            if fetched.ok_value is None:
                registered = await self._register_new(submission)
            else:
                registered = await self._register_existing(
                    submission, fetched.ok_value.job
                )
            if isinstance(registered, Ok):
                return registered
            failure = registered.err_value
            if reason_of(failure) is not FailureReason.CONFLICT:
                return registered
            await self._clock.sleep(_LOOKUP_RETRY_DELAY)
        return Err(failure)

    async def describe(self, job_id: JobId) -> Result[JobView | None, Failure]:
        """Returns a job, or None if it does not exist."""
        fetched = await self._job_store.fetch(job_id)
        if isinstance(fetched, Err):
            return Err(_store_unreadable(fetched.err_value))
        if fetched.ok_value is None:
            return Ok(None)
        job = fetched.ok_value.job
        if job.is_final:
            return Ok(job.view())
        described = await self._shards.of_zone(job.home).describe_job(job_id)
        if isinstance(described, Ok):
            return Ok(described.ok_value)
        # The stored record may lag behind the shard's state, but a final state in it
        # is always correct.
        return await self._describe_record(job_id, job)

    async def cancel(self, job_id: JobId) -> Result[JobView | None, Failure]:
        """Cancels a job; returns None if it does not exist."""
        failure: Failure = _job_moving(job_id)
        for _ in range(_LOOKUP_ATTEMPTS):
            fetched = await self._job_store.fetch(job_id)
            if isinstance(fetched, Err):
                return Err(_store_unreadable(fetched.err_value))
            if fetched.ok_value is None:
                return Ok(None)
            job = fetched.ok_value.job
            if job.is_final:
                return Ok(job.view())
            cancelled = await self._shards.of_zone(job.home).cancel(job_id)
            if isinstance(cancelled, Ok):
                return Ok(cancelled.ok_value)
            failure = cancelled.err_value
            if reason_of(failure) not in _MOVED_REASONS:
                break
            await self._clock.sleep(_LOOKUP_RETRY_DELAY)
        return Err(failure)

    async def list_tenant(
        self, tenant: TenantName
    ) -> Result[tuple[JobView, ...], Failure]:
        """Lists a tenant's jobs, unfinished ones with the state in their shards."""
        listed = await self._job_store.list_tenant(tenant)
        if isinstance(listed, Err):
            return Err(_store_unreadable(listed.err_value))
        views = {job.job_id: job.view() for job in listed.ok_value}
        homes = {job.home for job in listed.ok_value if not job.is_final}
        for home in homes:
            live = await self._shards.of_zone(home).list_jobs(tenant)
            if isinstance(live, Ok):
                views.update({job.job_id: job for job in live.ok_value})
        return Ok(tuple(views.values()))

    async def _register_new(
        self, submission: JobSubmission
    ) -> Result[JobRegistration, Failure]:
        """Tries the zones in service in turn.

        The next zone is tried only if the shard of the previous one was unavailable and
        did not register the job.
        """
        failure: Failure = Failure.not_run(
            Step.RESOLVE, '', 'no availability zone is in service', 'try again later'
        )
        for zone in self._candidate_zones():
            registered = await self._shards.of_zone(zone).register(submission)
            if isinstance(registered, Ok):
                return registered
            failure = registered.err_value
            may_try_next = (
                failure.verdict is Verdict.NOT_RUN
                and reason_of(failure) in _ZONE_UNAVAILABLE_REASONS
            )
            if not may_try_next:
                break
        return Err(failure)

    async def _register_existing(
        self, submission: JobSubmission, job: JobRecord
    ) -> Result[JobRegistration, Failure]:
        if job.content_digest != content_digest_of(submission):
            return Err(_key_reused(submission))
        if job.is_final:
            return Ok(JobRegistration(job.view(), created=False))
        # The record alone does not mean that the job was accepted; it is accepted once
        # the shard owner has written it to the journal.
        return await self._shards.of_zone(job.home).register(submission)

    def _candidate_zones(self) -> list[ZoneName]:
        """Returns the zones in service: this process's zone, then others at random."""
        others = [zone for zone in self._zones if zone != self._zone]
        order = self._random.permutation(len(others))
        candidates = [self._zone, *(others[index] for index in order)]
        return [zone for zone in candidates if self._replica.is_in_service(zone)]

    async def _describe_record(
        self, job_id: JobId, known: JobRecord
    ) -> Result[JobView | None, Failure]:
        """Reads the record again, since the job may have ended or moved meanwhile."""
        fetched = await self._job_store.fetch(job_id)
        if isinstance(fetched, Ok) and fetched.ok_value is not None:
            known = fetched.ok_value.job
        return Ok(known.view())


_MOVED_REASONS = frozenset((FailureReason.UNKNOWN_JOB, FailureReason.CONFLICT))
_ZONE_UNAVAILABLE_REASONS = frozenset(
    (FailureReason.NOT_OWNER, FailureReason.UNSPECIFIED)
)


def _store_unreadable(failure: Failure) -> Failure:
    return Failure.not_run(
        Step.STORE_READ, failure.peer, failure.message, 'try again in a few seconds'
    )


def _job_moving(key: str) -> Failure:
    return Failure.not_run(
        Step.RESOLVE, '', f'job {key} is moving to another zone', 'try again'
    )


def _key_reused(submission: JobSubmission) -> ShardFailure:
    return ShardFailure(
        Verdict.NOT_RUN,
        Step.VALIDATE,
        '',
        f'key {submission.key!r} belongs to a job with other contents',
        'use another key',
        reason=FailureReason.KEY_REUSED,
    )
