"""Tests which steps are skipped in a round after another step did not fit."""

from types import SimpleNamespace

import pytest

from chiveworks.base import Resources
from chiveworks.dispatch._assigner import _cannot_fit
from chiveworks.workflow import StepSpec

SMALL, LARGE = Resources(1000, 1), Resources(2000, 1)


@pytest.mark.parametrize(
    ('unplaced', 'waiting', 'skipped'),
    [
        (StepSpec(1, SMALL), StepSpec(1, LARGE), True),
        (StepSpec(1, LARGE), StepSpec(1, SMALL), False),
        (StepSpec(1, SMALL, fills=True), StepSpec(1, LARGE), False),
        (
            StepSpec(1, SMALL, image='a', fills=True),
            StepSpec(1, LARGE, image='a', fills=True),
            True,
        ),
        (
            StepSpec(1, SMALL, image='a', fills=True),
            StepSpec(1, LARGE, image='b', fills=True),
            False,
        ),
    ],
)
def test_only_steps_that_cannot_fit_are_skipped(unplaced, waiting, skipped):
    """Guards against filling tasks of a harmless image that wait because those of a
    harmful image found no worker."""
    assert _cannot_fit(SimpleNamespace(spec=waiting), [unplaced]) is skipped
