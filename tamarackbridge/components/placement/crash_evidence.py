"""Evidence that a request, or a block of its prompt, crashes servers.

Load pattern: a poison pill among other requests. Many requests are lost at each
crash, and only what they have in common tells which one caused it: they are the
same request, sent again, or their prompts share a block.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
import math

from tamarackbridge.components.gateway import jobs, models

BEGUN_EVIDENCE = 1.0
"""Evidence of a crash after the head of an answer. Few requests are in this
state at any time."""

UNANSWERED_EVIDENCE = 0.5
"""Evidence of a crash before the head: also all requests that were queued at
the engine are in this state."""

CONCURRENCY_S = 0.05
"""Requests sent up to this long before another crash count as sent after it:
the error of a time that was passed on between routers. Requests sent earlier
were lost together with others, as in the loss of a zone."""

MAX_BLOCKS = 32
"""Shared blocks of a prompt that are considered: the last ones, which fewer
requests share."""

MAX_NAME_CHARS = 32
"""Longest block name that is kept as it is; longer ones, and those that look
like the identifier of a request, are replaced by a hash."""

REQUEST_PREFIX = "="
"""Begins the identifier of a request, and that of no block."""

_DIGEST_BYTES = 15


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request that a server had barely begun to answer when it crashed.

    Attributes:
        server: Name of the server.
        started_ms: Unix milliseconds of the server's start; 0 where not stated.
        blocks: Parts of the request: itself, and its prompt's shared blocks.
        has_begun: Whether the head of the answer had been received.
        sent_at: Time at which the request was sent.
        crashed_at: Time at which the crash was noticed.
    """

    server: str
    started_ms: int
    blocks: frozenset[str]
    has_begun: bool
    sent_at: float
    crashed_at: float

    @property
    def crash(self) -> tuple[str, int]:
        """Identifies the crash: the instance of the server."""
        return (self.server, self.started_ms)

    @property
    def evidence(self) -> float:
        """Strength of the evidence against the blocks."""
        return BEGUN_EVIDENCE if self.has_begun else UNANSWERED_EVIDENCE


def shared_blocks(blocks: tuple[models.PromptBlock, ...]) -> frozenset[str]:
    """Returns the identifiers of the blocks that other prompts may contain."""
    shared = blocks[:-1][-MAX_BLOCKS:]
    return frozenset(_identifier(block.name) for block in shared)


def _identifier(name: str) -> str:
    if len(name) <= MAX_NAME_CHARS and not is_request(name):
        return name
    digest = hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()


def parts(job: jobs.Job) -> frozenset[str]:
    """Returns what a crash may be held against: the request and its blocks."""
    if not job.parts:
        # The request takes the place of its own, last block.
        blocks = shared_blocks(job.request.prompt_blocks[-MAX_BLOCKS:])
        job.parts = blocks | {request_identifier(job, blocks)}
    return job.parts


def is_request(name: str) -> bool:
    """Returns whether an identifier is that of a request."""
    return name.startswith(REQUEST_PREFIX)


def request_identifier(job: jobs.Job, blocks: frozenset[str]) -> str:
    """Returns an identifier that a request has whenever it is sent again.

    Requests of other workspaces have another one, so that none can make theirs
    be refused.

    Args:
        job: Job of the request.
        blocks: Shared blocks of its prompt.
    """
    request = job.request
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    fields = (job.workspace, request.method, request.host, request.target)
    for field in (*fields, *sorted(blocks), ""):
        data = field.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    for piece in request.body.pieces():
        digest.update(piece)
    return REQUEST_PREFIX + digest.hexdigest()


def independent_suspects(suspects: Iterable[Suspect]) -> list[Suspect]:
    """Returns one suspect of each crash that does not follow from another one.

    A request that was sent before another crash tells nothing new: whatever
    caused that crash may have caused its own.
    """
    by_crash: dict[tuple[str, int], Suspect] = {}
    for suspect in suspects:
        known = by_crash.get(suspect.crash)
        if known is None or _rank(suspect) > _rank(known):
            by_crash[suspect.crash] = suspect
    independent: list[Suspect] = []
    previous_at = -math.inf
    for suspect in sorted(by_crash.values(), key=_crashed_at):
        if suspect.sent_at >= previous_at - CONCURRENCY_S:
            independent.append(suspect)
            previous_at = suspect.crashed_at
    return independent


def _rank(suspect: Suspect) -> tuple[bool, float]:
    return (suspect.has_begun, suspect.sent_at)


def _crashed_at(suspect: Suspect) -> float:
    return suspect.crashed_at
