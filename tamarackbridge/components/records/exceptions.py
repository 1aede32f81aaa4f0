"""Errors of the record layer."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RecordError:
    """A record or record file that can't be read.

    Attributes:
        where: File, record or object that contains the error.
        key: Dotted path of the invalid key; empty for the record or file as
            a whole.
        allowed: What is allowed there, in words.
    """

    where: str
    key: str
    allowed: str

    def __str__(self) -> str:
        """Returns the error as one line."""
        return ": ".join(part for part in (self.where, self.key) if part) + (
            f": {self.allowed}"
        )
