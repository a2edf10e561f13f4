"""Exchange of configuration and owner table with peers."""

from dataclasses import replace

from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, Revision, Step
from chiveworks.catalogue import ConfigItem
from chiveworks.membership._config_push import ConfigPush
from chiveworks.membership._config_sync import ConfigSync
from chiveworks.membership._exchange_reply import ExchangeReply
from chiveworks.membership._exchange_request import ExchangeRequest
from chiveworks.membership._owner_record import OwnerRecord
from chiveworks.membership._owner_table import OwnerTable
from chiveworks.membership._paging import latest_by_key
from chiveworks.membership._peer import Peer
from chiveworks.membership._peer_calls import PeerCalls
from chiveworks.membership._peer_directory import PeerDirectory
from chiveworks.membership._peer_status import PeerStatus
from chiveworks.membership._watcher_progress import WatcherProgress

#: Size limit of the items in one message; a larger item is sent alone.
PAGE_BYTES = 256 << 10
#: Bounds one exchange; at `PAGE_BYTES` per round, no configuration is this large.
_MAX_ROUNDS = 256


class PeerExchange:
    """Client and server side of `Exchange` and server side of `Push`."""

    def __init__(
        self,
        own: Peer,
        sync: ConfigSync,
        directory: PeerDirectory,
        owners: OwnerTable,
        calls: PeerCalls,
        clock: Clock,
    ) -> None:
        self.own = own
        self.sync = sync
        self.directory = directory
        self.owners = owners
        self.calls = calls
        self.clock = clock
        self.progress = WatcherProgress(clock)
        self.is_draining = False
        self._was_recently_contacted = False

    def status(self) -> PeerStatus:
        """Returns the status of this process for its peers."""
        return PeerStatus(
            entry_id=self.own.entry_id,
            zone=self.own.zone,
            address=self.own.address,
            revision=self.sync.revision,
            last_change=self.sync.last_change,
            floor=self.sync.floor,
            progress_age=self.progress.age(),
            owners_digest=self.owners.digest,
            draining=self.is_draining,
        )

    def answer_exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Handles an exchange that a peer has started."""
        self.owners.update(request.owners)
        self._record_status(request.status)
        differs = request.status.owners_digest != self.owners.digest
        is_behind = self.sync.revision < request.status.revision
        if request.status.zone == self.own.zone and not differs and not is_behind:
            self._was_recently_contacted = True
        if request.complete_after is None:
            page = self.sync.changes_page(request.status.revision, PAGE_BYTES)
        else:
            page = self.sync.complete_page(request.complete_after, PAGE_BYTES)
        return ExchangeReply(
            status=self.status(),
            page=page,
            owners=self.owners.records() if differs else (),
        )

    def consume_recent_exchange(self) -> bool:
        """Returns and resets whether a peer of the zone recently started an exchange.

        The called process can then skip its own next exchange. A request carries no
        configuration items, so only an exchange after which this process lacked
        neither changes nor owner records counts.
        """
        was_contacted = self._was_recently_contacted
        self._was_recently_contacted = False
        return was_contacted

    def accept_push(self, push: ConfigPush) -> None:
        """Applies changes that a watcher has pushed."""
        self.sync.apply_changes(push.items, push.after, push.revision)
        if self.sync.revision >= push.revision:
            self.progress.confirm()

    async def exchange_with(self, address: str) -> Result[PeerStatus, Failure]:
        """Fetches changes from a peer and exchanges owner tables if they differ.

        Returns:
            The peer's status in the last round.
        """
        offered: tuple[OwnerRecord, ...] = ()
        page_start: Revision | None = None
        since = self.sync.revision
        for _ in range(_MAX_ROUNDS):
            status = self.status()
            if page_start is None:
                since = status.revision
            else:
                status = replace(status, revision=page_start)
            request = ExchangeRequest(status, owners=offered)
            outcome = await self._exchange(address, request)
            if outcome.is_err():
                return outcome.map(_status_of)
            reply = outcome.unwrap()
            differs = reply.status.owners_digest != self.owners.digest
            page_start = self._apply_page(request, reply, since)
            if page_start is None and (offered or not differs):
                break
            offered = () if offered else self.owners.records()
        return Ok(reply.status)

    async def pull_everything(self, address: str) -> Result[Revision, Failure]:
        """Pulls a full listing from a peer instead of from the store.

        Returns:
            The listing's revision.
        """
        items: list[ConfigItem] = []
        after = Revision(0)
        first: PeerStatus | None = None
        for _ in range(_MAX_ROUNDS):
            request = ExchangeRequest(self.status(), complete_after=after)
            outcome = await self._exchange(address, request)
            if outcome.is_err():
                return Err(outcome.unwrap_err())
            reply = outcome.unwrap()
            first = first or reply.status
            if not _is_same_listing(first, reply.status):
                break
            items.extend(reply.page.items)
            after = reply.page.next_after
            if not after:
                self._apply_listing(items, reply.status)
                return Ok(reply.status.revision)
        message = 'the peer has no configuration, or restarted during the listing'
        return Err(Failure.not_run(Step.READ, address, message))

    async def _exchange(
        self, address: str, request: ExchangeRequest
    ) -> Result[ExchangeReply, Failure]:
        outcome = await self.calls.exchange(address, request)
        if outcome.is_ok():
            reply = outcome.unwrap()
            self.owners.update(reply.owners)
            self.directory.update_draining(reply.status.entry_id, reply.status.draining)
        return outcome

    def _apply_page(
        self,
        request: ExchangeRequest,
        reply: ExchangeReply,
        since: Revision | None = None,
    ) -> Revision | None:
        """Applies one page of changes.

        Only the last page advances the revision, because a change that is missing
        from an earlier page may have been replaced by an item on a later one.

        Args:
            request: The request; the page starts at its revision.
            reply: The reply with the page.
            since: Start of the first page of this sequence; None for a single page.

        Returns:
            Revision after which the next page starts, or None after the last page.
        """
        start = request.status.revision
        page, status = reply.page, reply.status
        next_start: Revision | None = None
        if start >= status.floor:
            after = start if since is None else since
            new_revision = after if page.next_after else status.revision
            self.sync.apply_changes(page.items, after, new_revision)
            if page.next_after > start:
                next_start = page.next_after
        self._record_progress(status)
        return next_start

    def _apply_listing(self, items: list[ConfigItem], status: PeerStatus) -> None:
        self.sync.apply_listing(latest_by_key(items), status.revision)
        self._record_progress(status)

    def _record_status(self, status: PeerStatus) -> None:
        self.directory.update_draining(status.entry_id, status.draining)
        self.sync.advance_revision_from(status)
        self._record_progress(status)

    def _record_progress(self, status: PeerStatus) -> None:
        if self.sync.revision >= status.revision:
            self.progress.confirm(status.progress_age)


def _status_of(reply: ExchangeReply) -> PeerStatus:
    return reply.status


def _is_same_listing(first: PeerStatus, status: PeerStatus) -> bool:
    """Returns whether a page belongs to the listing that started with `first`.

    A new floor means that the peer has restarted or has listed the store again.
    """
    return (
        status.revision >= max(first.revision, 1)
        and status.entry_id == first.entry_id
        and status.floor == first.floor
    )
