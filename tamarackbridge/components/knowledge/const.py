"""Constants of a router's knowledge."""

from typing import Final

CONFIGURATION_WAIT_PART: Final = 0.5
"""Longest wait of a watch on the configuration, as a part of the time in which
one must be in force: keys and routes rest on it, also when a call is lost."""

REGISTRATION_WAIT_S: Final = 2.0
"""Longest wait of a watch on servers and zones; a silent connection is found
out within the 3 s after which a router counts as undisturbed."""

REST_S: Final = 0.25
"""Interval at which a follower that rests looks whether it has to read: that
of the messages which tell it how old another router's knowledge is."""

TOLD_MARGIN_S: Final = 0.7
"""Age beyond that of a watch's longest wait from which a router reads for
itself: two messages and their way through two routers."""

BEHIND_S: Final = 0.4
"""A router that knows for so long that it lacks a change reads for itself:
the one that it relies on had the time to send it twice. One that others see
lacking it for so long is sent it: a watch would have told it at once."""

PUSH_S: Final = 0.3
"""Knowledge that another router lacks is sent again after this time: a
round trip on a link that loses a packet."""

RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 0.8
"""Pauses after failed calls to the store; the longest leaves time for two
calls within the 2 s in which a configuration must be in force."""

OUTAGE_S: Final = 1.0
"""A store that was away for longer may have let registrations lapse: they are
renewed every 1.2 s."""

LAPSE_GRACE_S: Final = 2.2
"""Live servers are registered again about 2 s after the store's return."""

LEAVE_MARGIN_S: Final = 0.4
"""Part of the bound on leaving servers kept for the way of a request: a new
connection takes up to 0.25 s, a busy router as much."""

REVOCATION_MARGIN_S: Final = 1.0
"""Part of the bound on revoked keys kept for what the age can't tell: a
watch may hear nothing for a second while changes are made."""

APPLY_MARGIN_S: Final = 0.4
"""Part of the bound on configurations kept for the way of a change."""
