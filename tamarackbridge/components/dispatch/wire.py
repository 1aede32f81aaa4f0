"""Short forms of numbers in messages.

The codec writes a whole number in one to five bytes and any other in nine.
"""

import math


def whole(value: float) -> float:
    """Returns the nearest whole number, as an integer for the codec."""
    return round(value)


def whole_down(value: float) -> float:
    """Returns the whole number below, as an integer for the codec."""
    return math.floor(value)


def whole_up(value: float) -> float:
    """Returns the whole number above, as an integer for the codec."""
    return math.ceil(value)
