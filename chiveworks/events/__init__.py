"""Structured log lines of decisions, and measurements taken from them."""

from chiveworks.events._event_log import EventLog
from chiveworks.events._event_meter import EventMeter

from chiveworks.events._job_timeline import TimelineEntry, build_job_timeline

__all__ = ('EventLog', 'EventMeter', 'TimelineEntry', 'build_job_timeline')
