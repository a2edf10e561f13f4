"""Routing of requests: endpoint selection, dispatch, retries and hedging."""

from chiveworks.routing._attempt_end import AttemptEnd
from chiveworks.routing._attempt_error import AttemptError
from chiveworks.routing._attempt_outcome import AttemptOutcome, classify_attempt
from chiveworks.routing._dispatcher import Dispatcher
from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._endpoint_table import EndpointTable
from chiveworks.routing._headers import end_to_end
from chiveworks.routing._policy import ROUTING_POLICIES, RoutingPolicy
from chiveworks.routing._request import Request
from chiveworks.routing._response import Response
from chiveworks.routing._response_stream import ResponseStream
from chiveworks.routing._retry_budget import RetryBudget
from chiveworks.routing._round_robin import RoundRobin
from chiveworks.routing._router import Router
from chiveworks.routing._settings import RoutingSettings
from chiveworks.routing._two_choices import TwoChoices

__all__ = (
    'AttemptEnd',
    'AttemptError',
    'AttemptOutcome',
    'Dispatcher',
    'Endpoint',
    'EndpointTable',
    'ROUTING_POLICIES',
    'Request',
    'Response',
    'ResponseStream',
    'RetryBudget',
    'RoundRobin',
    'Router',
    'RoutingPolicy',
    'RoutingSettings',
    'TwoChoices',
    'classify_attempt',
    'end_to_end',
)
