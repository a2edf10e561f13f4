"""Decides which clients are served, refused or dropped under load."""

from collections.abc import Callable, Hashable, Iterator
from datetime import timedelta
from typing import Final, Generic, TypeVar

from chiveworks.guard._body import HeldBody
from chiveworks.guard._client_budget import ClientBudget
from chiveworks.guard._connection_phase import ConnectionPhase
from chiveworks.guard._request_limits import RequestLimits
from chiveworks.guard._turn_away_reason import TurnAwayReason

#: Time without progress after which a request may be dropped for another one. Ordinary
#: bodies arrive in one round trip; a lost packet delays one by 0.2 to 0.5 s.
STALL_GRACE: Final = timedelta(seconds=1)
#: Time after which a body that still arrives may be dropped for another one. 262,144
#: bytes in this time need 0.2 Mbit/s of the 5 to 10 that the smallest machine has.
SLOW_AFTER: Final = timedelta(seconds=10)
#: Size that a body must grow by to count as progress; less is a client that keeps a
#: connection alive byte by byte.
PROGRESS_BYTES: Final = 1024
#: Memory up to which a request is small. An ordinary job has 300 to 4,000 bytes, and
#: four times as much is charged for it once it is complete.
SMALL_BYTES: Final = 32_768
#: Overhead of chunks that is allowed at once and each second. A body of the greatest
#: default size in chunks of one byte has 1.3 MB. 170,000 chunks take about 0.2 s.
OVERHEAD_BURST: Final = 4 * 1024 * 1024
OVERHEAD_PER_S: Final = 256 * 1024

_Key = TypeVar('_Key', bound=Hashable)
#: Connections to drop, each with the reason.
Dropped = list[tuple[_Key, TurnAwayReason]]
_TIMEOUTS: Final = (
    (ConnectionPhase.IDLE, TurnAwayReason.IDLE_TIMEOUT),
    (ConnectionPhase.BODY, TurnAwayReason.BODY_TIMEOUT),
    (ConnectionPhase.RESPONSE, TurnAwayReason.RESPONSE_TIMEOUT),
)


class ClientGuard(Generic[_Key]):
    """Keeps the connections and unfinished requests of clients within a budget.

    The load that it handles: hundreds of clients that open connections and send
    nothing, headers byte by byte, or bodies of legal size that stall before their end,
    while ordinary clients send small requests. Whoever makes progress keeps its place;
    when a budget is used up, connections without progress are dropped, the longest
    first. A quarter of the memory is only for small bodies, so that they do not wait
    for large ones. Every operation takes constant time besides what it drops.

    Args:
        budget: Maximum number of connections and size of unfinished requests.
        limits: Returns the limits on a request.
        now: Time of creation.
    """

    def __init__(
        self,
        budget: ClientBudget,
        limits: Callable[[], RequestLimits],
        now: timedelta,
    ) -> None:
        self._budget = budget
        self._limits = limits
        self._phases: dict[_Key, ConnectionPhase] = {}
        # Each phase lists its connections by the time of their last progress.
        self._since: dict[ConnectionPhase, dict[_Key, timedelta]] = {
            phase: {} for phase in ConnectionPhase
        }
        # In the order of their start.
        self._bodies: dict[_Key, HeldBody] = {}
        self._held_bytes = 0
        self._overhead = float(OVERHEAD_BURST)
        self._overhead_at = now

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._phases)

    @property
    def held_bytes(self) -> int:
        """Memory charged for unfinished requests."""
        return self._held_bytes

    def phase(self, key: _Key) -> ConnectionPhase | None:
        """Returns the phase of a connection; None if it is not open."""
        return self._phases.get(key)

    def open(self, key: _Key, now: timedelta) -> tuple[bool, Dropped[_Key]]:
        """Adds a connection; returns whether it may stay, and which are dropped."""
        dropped: Dropped[_Key] = []
        if len(self._phases) >= self._budget.connections:
            found = next(self._droppable(now), None)
            if found is None:
                return False, dropped
            dropped.append(found)
            self.close(found[0])
        self._phases[key] = ConnectionPhase.IDLE
        self._since[ConnectionPhase.IDLE][key] = now
        return True, dropped

    def close(self, key: _Key) -> None:
        """Removes a connection; does nothing if it is not open."""
        phase = self._phases.pop(key, None)
        if phase is not None:
            self._since[phase].pop(key)
            self.release(key)

    def enter(self, key: _Key, phase: ConnectionPhase, now: timedelta) -> None:
        """Notes that a connection enters a phase; does nothing if it is not open."""
        former = self._phases.get(key)
        if former is None:
            return
        self._since[former].pop(key)
        self._phases[key] = phase
        self._since[phase][key] = now

    def hold(self, key: _Key, size: int, now: timedelta) -> tuple[bool, Dropped[_Key]]:
        """Charges memory to a request; returns whether it fits, and what is dropped.

        A request that does not fit gives all its memory back. What is dropped enters
        the phase CLOSING, since it still has a connection.
        """
        phase = self._phases.get(key)
        if phase is None or phase is ConnectionPhase.CLOSING:
            return False, []
        body = self._bodies.setdefault(key, HeldBody(now))
        body.held_bytes += size
        self._held_bytes += size
        if body.held_bytes - body.marked_bytes >= PROGRESS_BYTES:
            body.marked_bytes = body.held_bytes
            if phase is ConnectionPhase.BODY:
                self.enter(key, phase, now)
        total = self._budget.body_bytes
        # A quarter of the memory is only for small requests.
        room = total if body.held_bytes <= SMALL_BYTES else total - total // 4
        dropped = self._make_room(key, room, now)
        fits = self._held_bytes <= room
        if not fits:
            self.release(key)
        return fits, dropped

    def release(self, key: _Key) -> None:
        """Returns the memory of a request to the budget."""
        body = self._bodies.pop(key, None)
        if body is not None:
            self._held_bytes -= body.held_bytes

    def allow_overhead(self, size: int, now: timedelta) -> bool:
        """Charges overhead of chunks; returns whether it is within the allowance."""
        elapsed = (now - self._overhead_at).total_seconds()
        self._overhead_at = now
        refilled = min(self._overhead + elapsed * OVERHEAD_PER_S, OVERHEAD_BURST)
        allowed = size <= refilled
        self._overhead = refilled - size if allowed else refilled
        return allowed

    def expire(self, now: timedelta) -> Dropped[_Key]:
        """Returns the connections whose time is over.

        They are removed, except those that wait for a body, which enter the phase
        CLOSING.
        """
        limits = self._limits()
        header = self._older(ConnectionPhase.HEADER, now - limits.header_timeout)
        expired = [(key, TurnAwayReason.HEADER_TIMEOUT) for key in header]
        for phase, reason in _TIMEOUTS:
            late = self._older(phase, now - limits.idle_timeout)
            expired.extend((key, reason) for key in late)
        for key, reason in expired:
            if reason is TurnAwayReason.BODY_TIMEOUT:
                self._refuse(key, now)
            else:
                self.close(key)
        return expired

    def refuse_unfinished(self, now: timedelta) -> list[_Key]:
        """Moves all connections that wait for a body to CLOSING and returns them."""
        unfinished = list(self._since[ConnectionPhase.BODY])
        for key in unfinished:
            self._refuse(key, now)
        return unfinished

    def _droppable(self, now: timedelta) -> Iterator[tuple[_Key, TurnAwayReason]]:
        """Iterates over what may be dropped for a new connection, best first."""
        stalled = TurnAwayReason.STALLED
        for key in self._since[ConnectionPhase.CLOSING]:
            yield key, stalled
        for key in self._stalled_bodies(now):
            yield key, stalled
        for phase in (ConnectionPhase.HEADER, ConnectionPhase.RESPONSE):
            for late in self._older(phase, now - STALL_GRACE):
                yield late, stalled
        for idle in self._since[ConnectionPhase.IDLE]:
            yield idle, TurnAwayReason.IDLE_EVICTED

    def _stalled_bodies(self, now: timedelta) -> Iterator[_Key]:
        """Iterates over bodies without progress, then over those that take long."""
        yield from self._older(ConnectionPhase.BODY, now - STALL_GRACE)
        waiting = self._since[ConnectionPhase.BODY]
        for key, body in self._bodies.items():
            if body.started_at > now - SLOW_AFTER:
                return
            if key in waiting:
                yield key

    def _older(self, phase: ConnectionPhase, limit: timedelta) -> Iterator[_Key]:
        """Iterates over connections of a phase without progress since a time."""
        for key, since in self._since[phase].items():
            if since > limit:
                return
            yield key

    def _make_room(self, key: _Key, room: int, now: timedelta) -> Dropped[_Key]:
        """Drops stalled bodies until the memory in use is at most `room`."""
        dropped: Dropped[_Key] = []
        while self._held_bytes > room:
            stalled = self._stalled_bodies(now)
            victim = next((found for found in stalled if found != key), None)
            if victim is None:
                break
            self._refuse(victim, now)
            dropped.append((victim, TurnAwayReason.STALLED))
        return dropped

    def _refuse(self, key: _Key, now: timedelta) -> None:
        self.release(key)
        self.enter(key, ConnectionPhase.CLOSING, now)
