"""Instructions to the stand-in, given in the payload of a task."""

import json
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Payload:
    """Run time of a task without interference, and whether it fails at the end."""

    duration_ms: float
    fail: bool = False


def parse_payload(payload: str, default_duration_ms: float) -> Payload:
    """Parses a payload; text that is not a JSON object yields the defaults."""
    try:
        fields = json.loads(payload)
    except ValueError:
        return Payload(default_duration_ms)
    if not isinstance(fields, dict):
        return Payload(default_duration_ms)
    duration_ms = float(fields.get('duration_ms', default_duration_ms))
    return Payload(duration_ms, bool(fields.get('fail')))
