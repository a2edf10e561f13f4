"""Request to resolve a manual override."""

from dataclasses import dataclass

from chiveworks.membership._override_action import OverrideAction


@dataclass(frozen=True, slots=True)
class OverrideResolution:
    """An operator's decision on a manual override.

    Attributes:
        override_id: The override.
        action: Whether it is adopted or undone.
        author: Who decided.
    """

    override_id: str
    action: OverrideAction
    author: str
