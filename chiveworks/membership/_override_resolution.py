"""Request that resolves a manual override."""

from dataclasses import dataclass

from chiveworks.membership._override_action import OverrideAction


@dataclass(frozen=True, slots=True)
class OverrideResolution:
    """An operator's decision on a manual override.

    Attributes:
        override_id: Id of the override.
        action: Whether to adopt or revert it.
        author: Person who decided.
    """

    override_id: str
    action: OverrideAction
    author: str
