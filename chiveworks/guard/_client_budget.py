"""Memory and connections that clients may use."""

from dataclasses import dataclass
from typing import Final

_MEGABYTE: Final = 1_000_000
#: Part of the machine's memory for bodies, and for connections. With 200 MB and a
#: process of 55 MB in calm, 70 MB are left for the leader's state.
_BODY_SHARE: Final = 8
_CONNECTION_SHARE: Final = 4
#: Memory of a connection: the kernel's receive buffer (`RECEIVE_BUFFER_BYTES`, which
#: the kernel doubles), what one read of it may occupy in the parser, and objects.
CONNECTION_BYTES: Final = 49_152
#: Descriptors that are not for clients: 200 for files, 400 workers with up to four
#: connections each, 256 for the store, and 150 for the lease's and watches' connections,
#: the advisor, the listeners of the operators and the event loop.
_RESERVED_DESCRIPTORS: Final = 200 + 400 * 4 + 256 + 150
#: Part of the descriptors for clients on machines with few, where not all of those
#: above can be reserved.
_DESCRIPTOR_SHARE: Final = 4
#: Connections of a listener for operators: probes and collectors of metrics.
_OPERATOR_CONNECTIONS: Final = 16
_MAX_BACKLOG: Final = 512
_MIN_CONNECTIONS: Final = 8


@dataclass(frozen=True, slots=True)
class ClientBudget:
    """Limits of one listener.

    Attributes:
        connections: Maximum number of open connections.
        body_bytes: Maximum memory for requests that are not finished.
    """

    connections: int
    body_bytes: int

    @property
    def backlog(self) -> int:
        """Connections that may wait to be accepted; a burst is accepted at once."""
        return min(_MAX_BACKLOG, max(self.connections // 2, 1))

    @classmethod
    def derive(cls, memory_mb: float, descriptors: int) -> 'ClientBudget':
        """Returns the budget of the clients on a machine."""
        memory = memory_mb * _MEGABYTE
        by_memory = int(memory / _CONNECTION_SHARE / CONNECTION_BYTES)
        by_descriptors = max(
            descriptors - _RESERVED_DESCRIPTORS - _MAX_BACKLOG,
            descriptors // _DESCRIPTOR_SHARE,
        )
        connections = max(min(by_memory, by_descriptors), _MIN_CONNECTIONS)
        return cls(connections, int(memory / _BODY_SHARE))

    @classmethod
    def for_operators(cls) -> 'ClientBudget':
        """Returns the budget of a listener that reads no bodies."""
        return cls(_OPERATOR_CONNECTIONS, 0)
