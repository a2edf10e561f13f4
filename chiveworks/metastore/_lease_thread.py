"""Renews the lease of a term in a thread of its own."""

import asyncio
import threading
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

from chiveworks.metastore._metadata_store import MetadataStore
from chiveworks.metastore._term import Term


class LeaseThread:
    """Renews leases beside an event loop that may be late.

    The thread has an event loop and connections of its own, so that a renewal waits
    neither behind the restoration of the state nor behind scheduling. The lease still
    ends if the process makes no progress, see `Term.keep_lease`.

    Args:
        open_store: Opens a client of the store in the running event loop.
    """

    def __init__(
        self, open_store: Callable[[], AbstractAsyncContextManager[MetadataStore]]
    ) -> None:
        self._open_store = open_store

    async def renew(self, term: Term) -> None:
        """Renews the lease of a term until the term is lost."""
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[str] = loop.create_future()
        cancelled = threading.Event()
        thread = threading.Thread(
            target=self._run, args=(term, loop, ended, cancelled), daemon=True
        )
        thread.start()
        try:
            term.end(await ended)
        finally:
            cancelled.set()

    def _run(
        self,
        term: Term,
        loop: asyncio.AbstractEventLoop,
        ended: 'asyncio.Future[str]',
        cancelled: threading.Event,
    ) -> None:
        try:
            reason = asyncio.run(self._keep_lease(term))
        except Exception as error:
            reason = f'the renewal of the lease failed: {error!r}'
        if not cancelled.is_set():
            loop.call_soon_threadsafe(_resolve, ended, reason)

    async def _keep_lease(self, term: Term) -> str:
        async with self._open_store() as store:
            return await term.keep_lease(store)


def _resolve(ended: 'asyncio.Future[str]', reason: str) -> None:
    if not ended.done():
        ended.set_result(reason)
