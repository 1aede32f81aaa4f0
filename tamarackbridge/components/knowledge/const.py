"""Constants of a router's knowledge."""

from typing import Final

CONFIGURATION_WAIT_S: Final = 1.0
"""Longest wait of a watch on the configuration. Keys and routes rest on it,
and must be known within `config_apply_ms`, 2 s, also when a call is lost."""

REGISTRATION_WAIT_S: Final = 2.0
"""Longest wait of a watch on servers and zones; a silent connection is found
out within the 3 s after which a router counts as undisturbed."""

RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 0.8
"""Pauses after failed calls to the store; the longest leaves time for two
calls within the 2 s in which a configuration must be in force."""

OUTAGE_S: Final = 1.0
"""A store that was away for longer may have let registrations lapse: they are
renewed every 1.2 s."""

LAPSE_GRACE_S: Final = 2.2
"""Live servers are registered again about 2 s after the store's return."""

REVOCATION_MARGIN_S: Final = 1.0
"""Part of the bound on revoked keys kept for what the age can't tell: a
watch may hear nothing for a second while changes are made."""

APPLY_MARGIN_S: Final = 0.4
"""Part of the bound on configurations kept for the way of a change."""
