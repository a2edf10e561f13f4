"""Reads the stored form of the interference model."""

from collections.abc import Mapping
from typing import Any, Final

import msgpack

from chiveworks.dispatch._interference_weight import (
    INITIAL_VARIANCE,
    MAX_WEIGHT,
    InterferenceWeight,
)

#: Highest floor that is taken over; reports are capped far below it.
MAX_FLOOR: Final = 1000.0
# Raised by MessagePack, and if the record has an unexpected structure.
_DECODE_ERRORS: Final = (
    TypeError,
    LookupError,
    AttributeError,
    ValueError,
    msgpack.UnpackException,
)

_Weights = dict[str, dict[str, InterferenceWeight]]


def decode_model(packed: bytes) -> tuple[_Weights, dict[str, float]]:
    """Returns the stored weights, by serving and filling image, and the floors.

    Raises:
        ValueError: The bytes are not the record of a model.
    """
    try:
        return _unpack(msgpack.unpackb(packed))
    except _DECODE_ERRORS as error:
        raise ValueError(f'the learned interference cannot be read: {error!r}') from (
            error
        )


def _unpack(stored: Mapping[str, Any]) -> tuple[_Weights, dict[str, float]]:
    weights = {
        _check_image(serving): {
            _check_image(filling): _unpack_weight(*pair)
            for filling, pair in pairs.items()
        }
        for serving, pairs in stored['pressures'].items()
    }
    floors = {
        _check_image(image): _check_number(floor, MAX_FLOOR)
        for image, floor in stored['floors'].items()
    }
    return weights, floors


def _unpack_weight(weight: float, variance: float) -> InterferenceWeight:
    return InterferenceWeight(
        _check_number(weight, MAX_WEIGHT), _check_number(variance, INITIAL_VARIANCE)
    )


def _check_image(image: object) -> str:
    if not isinstance(image, str):
        raise TypeError('an image is not a text')
    return image


def _check_number(number: float, highest: float) -> float:
    # The comparison is also false for NaN.
    if not 0 <= number <= highest:
        raise ValueError(f'a number is not from 0 to {highest:g}')
    return number
