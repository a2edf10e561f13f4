"""Structured log lines of decisions, and measurements taken from them."""

from chiveworks.events._event_log import EventLog
from chiveworks.events._event_meter import EventMeter

from chiveworks.events._story import StoryLine, tell_story

__all__ = ('EventLog', 'EventMeter', 'StoryLine', 'tell_story')
