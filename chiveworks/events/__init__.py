"""Structured event log, and metrics and job timelines derived from it."""

from chiveworks.events._event_log import EventLog
from chiveworks.events._event_metrics import EventMetrics
from chiveworks.events._job_timeline import TimelineEntry, build_job_timeline

__all__ = ('EventLog', 'EventMetrics', 'TimelineEntry', 'build_job_timeline')
