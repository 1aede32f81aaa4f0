"""Limits of rollouts."""

from typing import Final

STEP_SHARES: Final = (0.2, 0.5, 0.8)
"""Parts of the allowed exposure by step. The last leaves a fifth for requests
that are sent between a version's turning bad and the last router's learning of
it."""

STEP_RESPONSES: Final = 30
"""Responses of the new version that the fleet needs for each further step."""

EARLY_SLACK_FRACTION: Final = 0.4
"""Part of the allowed slack that the routers spend at the beginning, so that
there is evidence also with little traffic."""

MAX_CREDIT: Final = 2.0
"""Credit beyond which none is saved: a router that could not send to the new
version for a time must not make up for it all at once."""

MIN_RESUME_CREDIT: Final = -4.0
"""Credit down to which a broken stream of the new version may go on there."""

MIN_CANARY_SERVERS: Final = 2
"""Servers that get the canary requests at least, so that trouble of a single
server is not taken for one of the version."""

SLOW_FACTOR: Final = 3.0
"""A response is slow if its first event takes this many times the old version's
mean. Neighbours on a host slow single servers 2.5 times."""

MIN_SLOW_MARGIN_S: Final = 0.04
"""Time above the mean that a slow response takes at least: an event loop whose
lag is accepted (`gateway/shedding.py`) adds this much to fast ones."""

FIRST_MARGIN_S: Final = 0.1
"""The same for attempts at a server that has not responded to this router since
the order. They open a connection: of 21 first ones to new servers that
responded within 6 ms later, four took 38 to 84 ms, and a good version was
rejected."""

MIN_OLD_RESPONSES: Final = 5
"""Responses of the old version on a route below which none is called slow."""

ERROR_RATE: Final = 0.001
"""Probability that the test rejects a good version, and that it accepts a bad
one, over all routes together."""

RATE_MARGIN: Final = 0.08
"""Difference of the rates of bad responses that the test looks for."""

MIN_OLD_RATE: Final = 0.005
"""Smallest rate of bad responses that is assumed of the old version."""

PRIOR_RESPONSES: Final = 4.0
PRIOR_RATE: Final = 0.05
"""Responses that are assumed of the old version in addition to those counted,
and their rate of bad ones: no failure among few responses proves no rate. In a
slice the rate of the last seconds is assumed instead. With 20 instead of 4,
trouble in which all of some 20 responses of a slice failed counted as a rate of
a half, and one of eight good versions was rejected; with this rate also in the
slices, half of the versions that crash were accepted at 60 requests a
second."""

MAX_OLD_RATE: Final = 0.5
"""Rate of bad responses of the old version above which nothing is concluded
from those of the new one."""

OLD_HALF_LIFE_S: Final = 2.0
"""Time after which a response of the old version counts half in the rate of the
last seconds. Trouble that both versions have may reach the new one's few
responses a second later."""

MIN_SLICE_S: Final = 0.25
"""Shortest time between two comparisons: the interval of the reports."""

MIN_SLICE_RESPONSES: Final = 4
"""Responses of the new version in a slice below which it is extended, for up to
`MAX_SLICE_S`."""

MAX_SLICE_S: Final = 1.0
MAX_SLICE_FRACTION: Final = 0.2
"""Longest slice, also as a part of the time within which a bad version must be
stopped: counts take up to a second more on their way through two hubs."""

MAX_UNDECIDED_RATIO: Final = 2.0
MAX_UNDECIDED_ROUTE_RATIO: Final = 3.5
"""Logarithms of the likelihood ratios of all routes and of one up to which a
version is still accepted if the duration ends before the test does. One bad
response adds 2.8 at most, and ten good ones take 0.8 of it back. With 0 for all
routes, 5 of 8 good versions with 5 % of failures, as the old one has, were
rejected at 60 requests a second."""

MIN_EXCESS: Final = 30
EXCESS_FACTOR: Final = 2.0
EXCESS_MARGIN: Final = 10.0
"""Bad responses that reject a version whatever the test says, if they are also
`EXCESS_FACTOR` times those that the old version's rates explain, and
`EXCESS_MARGIN` more. A version has to be stopped after its 50th."""

EARLY_MOVE_FRACTION: Final = 0.5
MOVE_FRACTION: Final = 0.75
FORCED_FRACTION: Final = 0.92
"""Parts of the duration from which requests may move early, must be decided
about, and after which the result is written whatever is still in flight."""

SPARE_CAPACITY: Final = 1.2
"""Slots that the new servers need for each request in flight."""

IN_FLIGHT_HALF_LIFE_S: Final = 1.0
"""Half-life of the average of the requests in flight. Their number at one
moment varies by its square root."""

RANK_DELAY_S: Final = 0.5
"""Time that each further router in the ranking waits with a decision."""

EVIDENCE_TIMEOUT_S: Final = 1.0
"""Age of the last report of another router from which a router doesn't send to
the new version: it can't know of bad responses elsewhere."""

JOIN_TIMEOUT_S: Final = 1.0
"""Time after which a router that found an order at its start takes it that no
running router knows more. Reports arrive four times a second."""

RESTART_AGE_FRACTION: Final = 0.5
"""Part of the duration that counts as gone if an order is found as running and
no router knows its age."""

REPORT_INTERVAL_S: Final = 0.25
"""Interval at which reports contain rollouts."""

MIN_DURATION_S: Final = 1.0
MAX_DURATION_S: Final = 86_400.0
"""Durations that an order may have: reports need a second to pass through all
routers, and no order stands for more than a day."""
