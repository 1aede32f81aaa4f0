"""Time limits for the local copy of the store's data."""

from typing import Final

CONFIGURATION_WAIT_FRACTION: Final = 0.5
"""Longest wait of a watch on the configuration, as a fraction of the time
within which a change must be in force: keys and routes depend on it, even if
one call is lost."""

REGISTRATION_WAIT_S: Final = 2.0
"""Longest wait of a watch on servers and zones. Detects a dead connection
within the 3 s after which a router counts as undisturbed."""

WATCH_PAUSE_FRACTION: Final = 0.09
"""Pause before the next watch, as a fraction of the time limit on leaving
servers. After a change of the registered servers, further changes in the pause
cost one call for all instead of one each. After a first read for which this
router had waited, a hub that relays the data may be found in the pause. A
change in it is known later by at most this time; a tenth of the limit is
allowed."""

FIRST_READ_CHECK_INTERVAL_S: Final = 0.02
"""Interval at which a router that has just started checks whether another one
has sent the data, or whether it must read the store itself."""

RELAYED_CHECK_INTERVAL_S: Final = 0.25
"""Interval at which a follower that gets its data from another router checks
whether it must read the store itself. The messages that report the age of the
other router's copy arrive at the same interval."""

RELAY_AGE_MARGIN_S: Final = 0.7
"""Age of relayed data, beyond the longest wait of a watch, from which a router
reads the store itself. Covers two messages that pass through two routers."""

BEHIND_TIMEOUT_S: Final = 0.4
"""A router that has lacked a reported change for this long reads the store
itself: the router that relays to it had time to send the change twice. A router
that others see lacking a change for this long is sent it: its own watch would
have returned the change at once."""

PUSH_INTERVAL_S: Final = 0.3
"""Time after which a snapshot that another router still lacks is sent again:
one round trip on a link that loses a packet."""

RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 0.8
"""Shortest and longest pause after a failed call to the store. The longest
leaves time for two calls within the 2 s in which a configuration must be in
force."""

MIN_OUTAGE_S: Final = 1.0
"""Registrations may have expired during a store outage longer than this: they
are renewed every 1.2 s."""

EXPIRY_GRACE_S: Final = 2.2
"""Time for which expired registrations are still used after an outage. Live
servers are registered again about 2 s after the store is back."""

ZONE_DOUBT_S: Final = 5.0
"""Time for which a zone stays evacuated that the store no longer lists after it
came back from an older copy: as long as an evacuation may take to be in
force."""

RESTORED_READ_INTERVAL_S: Final = 1.0
"""Shortest time between the full read of a kind in a new era and the next one,
in case that the eras which the store names don't make sense."""

LEAVE_MARGIN_S: Final = 0.4
"""Part of the time limit on leaving servers that is reserved for a request
already on its way: a new connection takes up to 0.25 s, and a busy router can
add as much."""

REVOCATION_MARGIN_S: Final = 1.0
"""Part of the time limit on revoked keys that is reserved for changes the age
does not show: a watch may return nothing for a second while changes are
made."""

APPLY_MARGIN_S: Final = 0.4
"""Part of the time limit on configurations that is reserved for the delivery
of a change."""
