"""Rounding of numbers in messages, to keep the messages short.

The codec encodes an integer in one to five bytes and a float in nine.
"""

import math


def round_nearest(value: float) -> float:
    """Rounds to the nearest integer."""
    return round(value)


def round_down(value: float) -> float:
    """Rounds down to an integer."""
    return math.floor(value)


def round_up(value: float) -> float:
    """Rounds up to an integer."""
    return math.ceil(value)
