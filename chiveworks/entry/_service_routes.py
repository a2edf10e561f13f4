"""Route for requests to services."""

from datetime import timedelta
from http import HTTPStatus

from aiohttp import web
from result import Err, Ok, Result

from chiveworks.admission import Admission, AdmissionRequest, TenantLimitFailure
from chiveworks.base import Clock, Failure, Step, Verdict
from chiveworks.entry._rejection import Rejection
from chiveworks.entry._request_claims import RequestClaims
from chiveworks.entry._request_record import RequestClaim, RequestRecord
from chiveworks.entry._response_relay import relay_response
from chiveworks.entry._service_catalogue import ServiceCatalogue, ServiceEntry
from chiveworks.entry._service_request import (
    ServiceRequest,
    parse_head,
    read_body,
)
from chiveworks.entry._service_settings import ServiceSettings
from chiveworks.routing import (
    Dispatcher,
    Request,
    Response,
    end_to_end,
)
from chiveworks.store import Store

_REQUEST_ID_HEADER = 'X-Request-Id'
_BODY_UNREAD_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
)


class ServiceRoutes:
    """Forwards requests to an endpoint of the service and relays the response.

    Args:
        catalogue: Looks up services.
        admission: Limits the requests in progress.
        dispatcher: Sends requests to endpoints.
        store: Stores the claims of idempotency keys.
        clock: Source of time.
        settings: Limits on requests.
    """

    def __init__(
        self,
        catalogue: ServiceCatalogue,
        admission: Admission,
        dispatcher: Dispatcher,
        store: Store,
        clock: Clock,
        settings: ServiceSettings,
    ) -> None:
        self._catalogue = catalogue
        self._admission = admission
        self._dispatcher = dispatcher
        self._claims = RequestClaims(store, clock)
        self._clock = clock
        self._settings = settings
        self._buffered_body_bytes = 0

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handles one request."""
        arrived = self._clock.monotonic()
        parsed = parse_head(request)
        if isinstance(parsed, Err):
            return parsed.err_value.to_response()
        head = parsed.ok_value
        entry = self._catalogue.entry(head.service)
        if entry is None:
            failure = Failure.not_run(
                Step.RESOLVE,
                head.service,
                'the catalogue has no service of this name',
                'check the name with `chiveworks catalogue get`',
            )
            return _to_response(head, Rejection(HTTPStatus.NOT_FOUND, failure))
        allowed = self._allowed_time(head, entry)
        # A body of unknown length counts as the maximum size.
        size = request.content_length
        if size is None:
            size = self._settings.body_bytes if request.body_exists else 0
        if self._buffered_body_bytes + size > self._settings.total_body_bytes:
            return _to_response(head, _body_memory_exhausted(head))
        self._buffered_body_bytes += size
        try:
            return await self._read_and_run(request, head, entry, arrived + allowed)
        finally:
            self._buffered_body_bytes -= size

    async def close(self) -> None:
        """Cancels background tasks."""
        await self._claims.close()

    async def _read_and_run(
        self,
        request: web.Request,
        head: ServiceRequest,
        entry: ServiceEntry,
        deadline: timedelta,
    ) -> web.StreamResponse:
        allowed = deadline - self._clock.monotonic()
        timeout = min(allowed, self._settings.read_timeout)
        body = await read_body(request, self._settings.body_bytes, timeout)
        if isinstance(body, Err):
            return _to_response(head, body.err_value)
        outgoing = Request(
            head.service,
            head.request_id,
            request.method,
            head.target,
            deadline,
            entry.idempotent,
            end_to_end(request.headers),
            body.ok_value,
        )
        return await self._run(request, head, entry, outgoing)

    async def _run(
        self,
        request: web.Request,
        head: ServiceRequest,
        entry: ServiceEntry,
        outgoing: Request,
    ) -> web.StreamResponse:
        admission_request = AdmissionRequest(
            head.tenant or entry.tenant,
            head.service,
            entry.service_class,
            outgoing.deadline,
            entry.rate_per_s or self._settings.rate_per_s,
            entry.concurrency,
        )
        admitted = await self._admission.admit(admission_request)
        if isinstance(admitted, Err):
            return _to_response(head, self._to_rejection(admitted.err_value, outgoing))
        dropped = True
        try:
            sent = await self._send(head, admission_request, outgoing)
            if isinstance(sent, Err):
                # A failed claim is no sign of overload at the endpoints.
                dropped = sent.err_value.failure.step is not Step.CLAIM
                return _to_response(head, sent.err_value)
            dropped = False
            return await relay_response(request, head.request_id, sent.ok_value)
        finally:
            admitted.ok_value.release(dropped)

    async def _send(
        self,
        head: ServiceRequest,
        admission_request: AdmissionRequest,
        outgoing: Request,
    ) -> Result[Response, Rejection]:
        if outgoing.idempotent or head.key is None:
            sent = await self._dispatcher.send(outgoing)
            return sent.map_err(lambda failure: self._to_rejection(failure, outgoing))
        claimed = await self._claims.claim(
            admission_request.tenant, head.service, head.key, head.request_id
        )
        if isinstance(claimed, Err):
            problem = claimed.err_value
            if isinstance(problem, RequestRecord):
                return Err(_duplicate(head, problem))
            return Err(Rejection(HTTPStatus.SERVICE_UNAVAILABLE, problem))
        sent = await self._dispatcher.send(outgoing)
        await self._record(claimed.ok_value, sent)
        return sent.map_err(lambda failure: self._to_rejection(failure, outgoing))

    async def _record(
        self, claim: RequestClaim, sent: Result[Response, Failure]
    ) -> None:
        if isinstance(sent, Ok):
            await self._claims.record(claim, 'answered', sent.ok_value.status)
        elif sent.err_value.verdict is Verdict.NOT_RUN:
            await self._claims.release(claim)
        else:
            await self._claims.record(claim, Verdict.OUTCOME_UNKNOWN.value)

    def _allowed_time(self, head: ServiceRequest, entry: ServiceEntry) -> timedelta:
        longest = self._settings.longest_deadline
        if entry.deadline_ms:
            longest = timedelta(milliseconds=entry.deadline_ms)
        return longest if head.deadline is None else min(head.deadline, longest)

    def _to_rejection(self, failure: Failure, outgoing: Request) -> Rejection:
        if isinstance(failure, TenantLimitFailure):
            return Rejection(HTTPStatus.TOO_MANY_REQUESTS, failure)
        if failure.verdict is Verdict.NOT_RUN:
            return Rejection(HTTPStatus.SERVICE_UNAVAILABLE, failure)
        late = self._clock.monotonic() >= outgoing.deadline
        status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
        return Rejection(status, failure)


def add_service_routes(
    app: web.Application,
    *,
    catalogue: ServiceCatalogue,
    admission: Admission,
    dispatcher: Dispatcher,
    store: Store,
    clock: Clock,
    settings: ServiceSettings | None = None,
) -> None:
    """Adds `ANY /services/SERVICE/PATH` to an application."""
    routes = ServiceRoutes(
        catalogue, admission, dispatcher, store, clock, settings or ServiceSettings()
    )

    async def close(_: web.Application) -> None:
        await routes.close()

    app.on_cleanup.append(close)
    app.router.add_route('*', '/services/{service}', routes.handle)
    app.router.add_route('*', '/services/{service}/{path:.*}', routes.handle)


def _to_response(head: ServiceRequest, rejection: Rejection) -> web.Response:
    response = rejection.to_response()
    response.headers[_REQUEST_ID_HEADER] = head.request_id
    if rejection.status in _BODY_UNREAD_STATUSES:
        # Closes the connection instead of reading the rest of the body.
        response.force_close()
    return response


def _body_memory_exhausted(head: ServiceRequest) -> Rejection:
    failure = Failure.not_run(
        Step.ADMIT,
        head.service,
        'the limit on buffered request bodies is reached',
        'try again after a short wait',
    )
    return Rejection(HTTPStatus.SERVICE_UNAVAILABLE, failure)


def _duplicate(head: ServiceRequest, record: RequestRecord) -> Rejection:
    failure = Failure.unknown(
        Step.CLAIM,
        head.service,
        f'a request with this idempotency key exists; its state is {record.state}',
        'this request was not sent; see "first" for the state of the earlier one',
    )
    first: dict[str, str | int] = {
        'request_id': record.request_id,
        'state': record.state,
        'claimed_at': record.claimed_at,
    }
    if record.status:
        first['status'] = record.status
    return Rejection(HTTPStatus.CONFLICT, failure, 'duplicate_key', first)
