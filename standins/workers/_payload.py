"""Instructions to the stand-in in a task's payload."""

import json
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Payload:
    """How long a task runs undisturbed and whether it fails at the end."""

    duration_ms: float
    fail: bool = False


def parse_payload(payload: str, default_duration_ms: float) -> Payload:
    """Reads a payload; text that is no JSON object stands for the defaults."""
    try:
        fields = json.loads(payload)
    except ValueError:
        return Payload(default_duration_ms)
    if not isinstance(fields, dict):
        return Payload(default_duration_ms)
    duration_ms = float(fields.get('duration_ms', default_duration_ms))
    return Payload(duration_ms, bool(fields.get('fail')))
