"""Limits on clients that are not under the operators' control."""

from chiveworks.guard._body_refusal import BodyRefusal
from chiveworks.guard._client_budget import ClientBudget
from chiveworks.guard._client_guard import ClientGuard
from chiveworks.guard._connection_phase import ConnectionPhase
from chiveworks.guard._guarded_connection import (
    GuardedConnection,
    read_body,
    was_turned_away,
)
from chiveworks.guard._guarded_server import GuardedServer
from chiveworks.guard._listener import listen
from chiveworks.guard._request_limits import RequestLimits
from chiveworks.guard._turn_away_counts import TurnAwayCounts
from chiveworks.guard._turn_away_reason import TurnAwayReason

__all__ = (
    'BodyRefusal',
    'ClientBudget',
    'ClientGuard',
    'ConnectionPhase',
    'GuardedConnection',
    'GuardedServer',
    'RequestLimits',
    'TurnAwayCounts',
    'TurnAwayReason',
    'listen',
    'read_body',
    'was_turned_away',
)
