"""Validation of parameters."""

from datetime import timedelta


def check_positive(name: str, number: float) -> None:
    """Raises `ValueError` unless `number` is above zero."""
    if number <= 0:
        raise ValueError(f'{name} must be above 0, got {number}')


def check_share(name: str, number: float) -> None:
    """Raises `ValueError` unless `number` is between 0 and 1, inclusive."""
    if not 0 <= number <= 1:
        raise ValueError(f'{name} must be between 0 and 1, got {number}')


def check_duration(name: str, duration: timedelta) -> None:
    """Raises `ValueError` unless `duration` is above zero."""
    if duration <= timedelta(0):
        raise ValueError(f'{name} must be a positive duration, got {duration}')
