"""Structured log lines of decisions."""

from chiveworks.events._event_log import EventLog

__all__ = ('EventLog',)
