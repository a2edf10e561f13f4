"""Dispatch of requests to endpoints, with retries and hedging."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, Step, Verdict
from chiveworks.routing._attempt_end import AttemptEnd
from chiveworks.routing._attempt_error import AttemptError
from chiveworks.routing._attempt_outcome import AttemptOutcome, classify_attempt
from chiveworks.routing._connections import Connections
from chiveworks.routing._endpoint import TIMEOUTS_TO_PROBE, Endpoint
from chiveworks.routing._endpoint_table import EndpointTable
from chiveworks.routing._exchange import Exchange
from chiveworks.routing._hedging import discard, first_success
from chiveworks.routing._policy import ROUTING_POLICIES
from chiveworks.routing._prober import Prober
from chiveworks.routing._request import Request
from chiveworks.routing._response import Response
from chiveworks.routing._retry_budget import RetryBudget
from chiveworks.routing._router import Router
from chiveworks.routing._settings import RoutingSettings

_TIMEOUTS = frozenset(
    (
        AttemptEnd.CONNECT_TIMEOUT,
        AttemptEnd.ANSWER_TIMEOUT,
        AttemptEnd.READ_TIMEOUT,
    )
)


class Dispatcher:
    """Sends each request to an endpoint; retries prefer endpoints not yet tried.

    Args:
        table: The endpoints.
        clock: Source of time.
        settings: Parameters of routing.
        on_retry: Called before each retry with the verdict so far.
    """

    def __init__(
        self,
        table: EndpointTable,
        clock: Clock,
        settings: RoutingSettings,
        on_retry: Callable[[Verdict], None] | None = None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._settings = settings
        self._on_retry = on_retry
        policy = ROUTING_POLICIES.create(settings.policy)
        self._router = Router(table, policy, clock)
        self._connections = Connections(settings)
        self._budget = RetryBudget(settings.retry_share, settings.retry_reserve)
        self._prober = Prober(self._connections, clock, settings)

    async def send(self, request: Request) -> Result[Response, Failure]:
        """Sends a request and returns the response or the failure.

        The verdict covers all attempts: "not run" means that none of them ran.
        """
        self._budget.deposit()
        tried: list[Endpoint] = []
        failure: Failure | None = None
        while len(tried) < self._settings.attempt_limit:
            endpoint = await self._next_endpoint(request, tried)
            if endpoint is None:
                break
            if failure is not None and self._on_retry is not None:
                self._on_retry(failure.verdict)
            tried.append(endpoint)
            try:
                return Ok(await self._attempt(request, endpoint, tried))
            except AttemptError as error:
                outcome = classify_attempt(error.end, request.idempotent)
                peer = tried[-1].instance.instance_id
                failure = _combine(failure, _to_failure(outcome, error, peer))
            if not outcome.may_retry:
                break
        return Err(failure or self._no_endpoint(request))

    async def close(self) -> None:
        """Cancels all probes and closes all connections."""
        await self._prober.close()
        await self._connections.close()

    async def close_unused_connections(self) -> None:
        """Closes connections to endpoints that left; to be called after table updates."""
        self._connections.retire_leaving()
        await self._connections.close_unused()

    async def _next_endpoint(
        self, request: Request, tried: list[Endpoint]
    ) -> Endpoint | None:
        """Returns the endpoint of the next attempt, after the backoff of a retry.

        Returns None if no retry is allowed or no endpoint accepts the request.
        """
        if tried and not await self._wait_to_retry(request, len(tried)):
            return None
        return self._router.pick(request.service, tried)

    async def _wait_to_retry(self, request: Request, attempt_count: int) -> bool:
        """Waits before a retry; returns False if budget or deadline do not allow it."""
        jitter = random.uniform(0, 2)  # noqa: S311 - not for secrets
        pause = self._settings.backoff_base * 2 ** (attempt_count - 1) * jitter
        if self._clock.monotonic() + pause >= request.deadline:
            return False
        if not self._budget.try_spend():
            return False
        await self._clock.sleep(pause)
        return True

    def _no_endpoint(self, request: Request) -> Failure:
        known = self._table.has_service(request.service)
        text = 'no endpoint has a free slot' if known else 'no endpoint is listed'
        return Failure.not_run(
            Step.RESOLVE, request.service, text, 'try again after a short wait'
        )

    async def _attempt(
        self, request: Request, endpoint: Endpoint, tried: list[Endpoint]
    ) -> Response:
        """Sends a request and, if it is idempotent and slow, a hedge elsewhere.

        The endpoint of the hedge is added to `tried`.
        """
        hedge_after = self._settings.hedge_after
        if hedge_after is None or not request.idempotent:
            return await self._exchange(request, endpoint, len(tried))
        first = asyncio.ensure_future(self._exchange(request, endpoint, len(tried)))
        attempts: set[asyncio.Future[Response]] = {first}
        try:
            await asyncio.wait(attempts, timeout=hedge_after.total_seconds())
            if not first.done():
                other = self._router.pick(request.service, tried)
                untried = other is not None and other not in tried
                if other and untried and self._budget.try_spend():
                    tried.append(other)
                    second = self._exchange(request, other, len(tried))
                    attempts.add(asyncio.ensure_future(second))
            return await first_success(attempts)
        finally:
            await discard(attempts)

    async def _exchange(
        self, request: Request, endpoint: Endpoint, attempt_number: int
    ) -> Response:
        started = self._clock.monotonic()
        limit = request.deadline - started
        if limit <= timedelta():
            raise AttemptError(AttemptEnd.CONNECT_TIMEOUT, 'the deadline has passed')
        if request.idempotent and attempt_number < self._settings.attempt_limit:
            # Leaves time for a retry if the connection no longer responds.
            limit /= 2
        lease = self._connections.lease(endpoint)
        exchange = Exchange(request, lease, self._clock, self._settings)
        try:
            response = await exchange.run(limit.total_seconds())
        except AttemptError as error:
            self._record_failure(endpoint, error.end, started)
            raise
        now = self._clock.monotonic()
        if response.status >= 500:
            self._record_failure(endpoint, None, started)
        else:
            endpoint.record_success(now, now - started)
        return response

    def _record_failure(
        self, endpoint: Endpoint, end: AttemptEnd | None, started: timedelta
    ) -> None:
        """Records a failure; `end` is None for a response with status 500 or above."""
        now = self._clock.monotonic()
        if end is AttemptEnd.REFUSED:
            endpoint.record_refusal(now)
            return
        should_eject = endpoint.record_failure(now, now - started, end in _TIMEOUTS)
        if endpoint.timeouts >= TIMEOUTS_TO_PROBE:
            # After consecutive timeouts, all pooled connections may be dead.
            endpoint.timeouts = 0
            self._connections.retire(endpoint)
            if self._table.start_probe(endpoint):
                self._prober.start(endpoint)
        elif should_eject:
            self._table.eject(endpoint)


def _to_failure(outcome: AttemptOutcome, error: AttemptError, peer: str) -> Failure:
    detail = f': {error.detail}' if error.detail else ''
    return Failure(outcome.verdict, outcome.step, peer, f'{outcome.message}{detail}')


def _combine(earlier: Failure | None, later: Failure) -> Failure:
    """Returns the failure to report; an earlier unknown outcome takes precedence."""
    if earlier is not None and earlier.verdict is Verdict.OUTCOME_UNKNOWN:
        return earlier
    return later
