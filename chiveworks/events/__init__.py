"""Structured log lines of decisions, and measurements taken from them."""

from chiveworks.events._event_log import EventLog
from chiveworks.events._event_meter import EventMeter

__all__ = ('EventLog', 'EventMeter')
