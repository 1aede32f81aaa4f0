"""Constants of records."""

from typing import Final

CONF_RECORDS: Final = "records"
CONF_KIND: Final = "kind"
CONF_NAME: Final = "name"
CONF_SCHEMA_VERSION: Final = "schema_version"

KIND_WORKSPACE: Final = "workspace"
KIND_SERVICE: Final = "service"
KIND_SERVER: Final = "server"
KIND_ZONE: Final = "zone"

KINDS: Final = (KIND_ZONE, KIND_SERVICE, KIND_SERVER, KIND_WORKSPACE)
"""All kinds; records refer only to records of kinds earlier in this order."""

NAME_PATTERN: Final = "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
"""Names of records: lower-case letters, digits and inner hyphens."""

STORE_PREFIX: Final = "record/"
"""Prefix of the object API keys of records."""

MAX_FILE_BYTES: Final = 4 * 1024 * 1024
"""Largest record file, in bytes."""

MAX_RECORD_BYTES: Final = 512 * 1024
"""Largest stored record, in bytes; the object API accepts one megabyte."""

MAX_FILE_RECORDS: Final = 10_000
"""Largest number of records in one file."""
