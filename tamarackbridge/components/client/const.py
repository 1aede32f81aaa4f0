"""Exit codes and environment variables of the operators' client."""

import enum
from typing import Final

ENV_URL: Final = "TAMARACKBRIDGE_URL"
ENV_TOKEN_FILE: Final = "TAMARACKBRIDGE_TOKEN_FILE"

CALL_TIMEOUT_S: Final = 30.0
"""Time-out of one call to one router; after it the call is unanswered."""


class Exit(enum.IntEnum):
    """Exit codes of the program."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    UNAUTHORIZED = 6


EXIT_HELP: Final = (
    "Exit codes: 0 done; 1 refused, nothing changed; 2 wrong command, settings"
    " or record file; 3 conflict with another change, nothing changed; 4 no"
    " router or the platform's service can't be reached, nothing changed; 5 the"
    " change may be written but is not confirmed; 6 not authorized."
)
