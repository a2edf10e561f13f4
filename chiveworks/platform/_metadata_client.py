"""HTTP client of the platform's metadata store."""

import base64
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Final, TypeVar

from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, Revision, Step, StoreLeaseId
from chiveworks.metastore import (
    Committed,
    Conflict,
    Listing,
    StoreItem,
    Transaction,
    WatchBatch,
)
from chiveworks.platform._channel import Channel, Reply
from chiveworks.platform._fields import Fields

#: Bounds of the adaptive call timeout. The store responds in 4 ms, or in 240 ms when
#: it is slow. With a fast store, a lost response is detected after the lower bound.
MIN_CALL_TIMEOUT: Final = timedelta(milliseconds=300)
MAX_CALL_TIMEOUT: Final = timedelta(milliseconds=800)
#: Number of consecutive failed calls, and time since the last successful one, after
#: which the store counts as unavailable and clients are refused without a call. Both
#: must be reached, since concurrent calls to a slow store time out together. Watches
#: continue and detect when the store recovers.
UNAVAILABLE_AFTER_FAILURES: Final = 3
UNAVAILABLE_AFTER_SILENCE: Final = timedelta(milliseconds=700)
#: Call timeout as a multiple of the duration of recent calls; also the divisor by
#: which the timeout approaches that multiple after a faster call.
TIMEOUT_FACTOR: Final = 4
#: Timeout of a watch beyond its wait; it may be as slow to respond as other calls.
WATCH_TIMEOUT_MARGIN: Final = timedelta(milliseconds=700)

#: Highest revision or lease of the store.
MAX_REVISION: Final = 2**63

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_COMPACTED = 410
_MILLISECOND: Final = timedelta(milliseconds=1)

_Decoded = TypeVar('_Decoded')


class HttpMetadataStore:
    """Client of the metadata store.

    Args:
        address: Host and port of the store.
        clock: Source of time.
        observe: Called with the path, duration and success of reads and transactions.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        observe: Callable[[str, timedelta, bool], None],
    ) -> None:
        self._clock = clock
        self._calls = Channel(address, MAX_CALL_TIMEOUT)
        self._watches = Channel(address, MAX_CALL_TIMEOUT)
        self._timeout = MAX_CALL_TIMEOUT
        self._observe = observe
        self._failures = 0
        self._last_success_at = clock.monotonic()

    @property
    def available(self) -> bool:
        """Whether the store is likely to respond to a call."""
        if self._failures < UNAVAILABLE_AFTER_FAILURES:
            return True
        return (
            self._clock.monotonic() - self._last_success_at < UNAVAILABLE_AFTER_SILENCE
        )

    @property
    def silence(self) -> timedelta:
        """Time since the last successful call if later ones have failed, else 0."""
        if not self._failures:
            return timedelta()
        return self._clock.monotonic() - self._last_success_at

    async def read(
        self, key: str, *, stale: bool = False
    ) -> Result[StoreItem, Failure]:
        """Reads a key."""
        query = {'key': key, **({'stale_ok': '1'} if stale else {})}
        result = await self._read('/v1/kv-key', query)
        if isinstance(result, Err):
            return result
        status, body = result.ok_value
        if status == _NOT_FOUND:
            return Ok(StoreItem(key, Revision(0), None))
        return _decode(status, body, _decode_item)

    async def read_all(self, prefix: str) -> Result[Listing, Failure]:
        """Reads all keys under a prefix, page by page."""
        items: list[StoreItem] = []
        revision: int | None = None
        query = {'prefix': prefix}
        while True:
            result = await self._read('/v1/kv-range', query)
            if isinstance(result, Err):
                return result
            status, body = result.ok_value
            page = _decode(status, body, _decode_page)
            if isinstance(page, Err):
                return page
            found, page_revision, has_more = page.ok_value
            items.extend(found)
            # Keys may change between pages, so a watch must start at the revision of
            # the first page.
            revision = page_revision if revision is None else revision
            if not has_more or not found:
                return Ok(Listing(items, Revision(revision)))
            query = {'prefix': prefix, 'after': found[-1].key}

    async def watch(
        self, prefix: str, after: Revision, wait: timedelta
    ) -> Result[WatchBatch, Failure]:
        """Waits up to `wait` for changes after a revision."""
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait_ms': str(wait // _MILLISECOND),
        }
        result = await self._watches.call(
            'GET',
            '/v1/kv-watch',
            Step.STORE_READ,
            query=query,
            timeout=wait + WATCH_TIMEOUT_MARGIN,
            writes=False,
        )
        self._record_result(succeeded=not isinstance(result, Err))
        if isinstance(result, Err):
            return result
        status, body = result.ok_value
        if status == _COMPACTED:
            return Ok(WatchBatch((), after, compacted=True))
        return _decode(status, body, _decode_batch)

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, Failure]:
        """Applies a transaction."""
        body = {
            'expected_rev': [
                {'key': key, 'revision': revision}
                for key, revision in transaction.expected.items()
            ],
            'writes': [_encode_write(transaction, key) for key in transaction.writes],
            'remove': list(transaction.removals),
        }
        result = await self._call_timed(
            'POST', '/v1/kv-txn', Step.STORE_WRITE, body=body
        )
        if isinstance(result, Err):
            return result
        status, reply = result.ok_value
        if status == _CONFLICT:
            return _decode(_OK, reply, _decode_conflict)
        return _decode(status, reply, _decode_commit)

    async def grant_lease(self, ttl: timedelta) -> Result[StoreLeaseId, Failure]:
        """Creates a lease."""
        result = await self._calls.call(
            'POST',
            '/v1/kv-lease',
            Step.STORE_WRITE,
            body={'ttl_ms': ttl // _MILLISECOND},
        )
        if isinstance(result, Err):
            return result
        return _decode(*result.ok_value, _decode_lease)

    async def renew_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Renews a lease."""
        result = await self._calls.call(
            'POST', f'/v1/kv-keep/{lease}', Step.RENEW, timeout=MAX_CALL_TIMEOUT / 2
        )
        if isinstance(result, Err):
            return result
        return Ok(result.ok_value[0] == _OK)

    async def revoke_lease(self, lease: StoreLeaseId) -> Result[None, Failure]:
        """Ends a lease."""
        result = await self._calls.call(
            'DELETE', f'/v1/kv-lease-end/{lease}', Step.STORE_WRITE
        )
        if isinstance(result, Err):
            return result
        return Ok(None)

    async def close(self) -> None:
        """Closes all connections."""
        await self._calls.close()
        await self._watches.close()

    async def _read(self, path: str, query: dict[str, str]) -> Result[Reply, Failure]:
        return await self._call_timed(
            'GET', path, Step.STORE_READ, query=query, writes=False
        )

    async def _call_timed(
        self,
        method: str,
        path: str,
        step: Step,
        *,
        query: dict[str, str] | None = None,
        body: object = None,
        writes: bool = True,
    ) -> Result[Reply, Failure]:
        """Sends a call whose timeout adapts to the duration of recent calls."""
        started_at = self._clock.monotonic()
        result = await self._calls.call(
            method,
            path,
            step,
            query=query,
            body=body,
            timeout=self._timeout,
            writes=writes,
        )
        duration = self._clock.monotonic() - started_at
        self._observe(path, duration, not isinstance(result, Err))
        self._record_result(succeeded=not isinstance(result, Err))
        if isinstance(result, Err):
            self._timeout = min(2 * self._timeout, MAX_CALL_TIMEOUT)
        else:
            # A slow call raises the timeout at once, faster ones reduce it gradually.
            scaled_duration = TIMEOUT_FACTOR * duration
            decayed_timeout = (
                self._timeout + (scaled_duration - self._timeout) / TIMEOUT_FACTOR
            )
            self._timeout = min(
                max(scaled_duration, decayed_timeout, MIN_CALL_TIMEOUT),
                MAX_CALL_TIMEOUT,
            )
        return result

    def _record_result(self, *, succeeded: bool) -> None:
        self._failures = 0 if succeeded else self._failures + 1
        if succeeded:
            self._last_success_at = self._clock.monotonic()


def _decode(
    status: int, body: Any, decoder: Callable[[Fields], _Decoded]
) -> Result[_Decoded, Failure]:
    if status != _OK:
        return Err(_unusable_reply(f'status {status}'))
    try:
        return Ok(decoder(Fields(body)))
    except ValueError as error:
        return Err(_unusable_reply(str(error)))


def _unusable_reply(reason: str) -> Failure:
    message = f'unusable response: {reason}'
    return Failure.unknown(Step.READ, 'metadata store', message)


def _encode_write(transaction: Transaction, key: str) -> dict[str, object]:
    return {
        'key': key,
        'value': base64.b64encode(transaction.writes[key]).decode(),
        'lease': transaction.lease if key in transaction.leased else 0,
    }


def _decode_item(item: Fields) -> StoreItem:
    key = item.text('key')
    revision = Revision(item.whole('revision', 0, highest=MAX_REVISION))
    if not revision or item.get('deleted'):
        return StoreItem(key, revision, None)
    content = item.get('value') or ''
    if not isinstance(content, str):
        raise ValueError(f'the value of {key} is not a text')
    return StoreItem(key, revision, base64.b64decode(content, validate=True))


def _decode_items(body: Fields, name: str) -> list[StoreItem]:
    return [_decode_item(Fields(item)) for item in body.rows(name)]


def _decode_store_revision(body: Fields) -> Revision:
    return Revision(body.whole('store_revision', highest=MAX_REVISION))


def _decode_page(body: Fields) -> tuple[list[StoreItem], int, bool]:
    items = _decode_items(body, 'items')
    return items, _decode_store_revision(body), bool(body.get('has_more'))


def _decode_batch(body: Fields) -> WatchBatch:
    return WatchBatch(_decode_items(body, 'events'), _decode_store_revision(body))


def _decode_commit(body: Fields) -> Committed | Conflict:
    return Committed(Revision(body.whole('revision', highest=MAX_REVISION)))


def _decode_conflict(body: Fields) -> Committed | Conflict:
    return Conflict({item.key: item for item in _decode_items(body, 'items')})


def _decode_lease(body: Fields) -> StoreLeaseId:
    return StoreLeaseId(body.whole('lease', highest=MAX_REVISION))
