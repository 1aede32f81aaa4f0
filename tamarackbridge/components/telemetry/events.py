"""Everything that a router of the platform logs, as typed events.

One event is one line. Times are in seconds, ages in seconds before the line.
"""

from typing import Any

from absl import logging
import msgspec


class Event(msgspec.Struct, frozen=True, tag_field="event", tag=True):
    """Base of all events; the class name is the line's `event`."""


class Started(Event, frozen=True):
    """The process serves from now on."""

    zone: str
    boot: int


class Draining(Event, frozen=True):
    """A signal asked for the end."""

    held: int


class Stopped(Event, frozen=True):
    """The process ends; what is held now is cut."""

    held: int


class Reloaded(Event, frozen=True):
    """The settings file was read again."""

    changed: tuple[str, ...]
    error: str = ""


class ConfigurationInForce(Event, frozen=True):
    """A newer configuration is in force."""

    version: int
    routes: int
    workspaces: int


class ServerRegistered(Event, frozen=True):
    """A backend server is registered, or its registration changed."""

    server: str
    service: str
    zone: str
    address: str
    draining: bool
    cold_s: float


class ServerGone(Event, frozen=True):
    """A backend server is no longer registered; used until `grace_s`."""

    server: str
    grace_s: float


class ZoneChanged(Event, frozen=True):
    """An availability zone was taken out or came back."""

    zone: str
    out: bool


class StoreAway(Event, frozen=True):
    """The store gives no answer on one kind of object."""

    kind: str
    age_s: float


class StoreBack(Event, frozen=True):
    """The store answers again."""

    kind: str
    away_s: float


class KnowledgeTold(Event, frozen=True):
    """Another router sent what this one lacked of a kind."""

    kind: str
    router: str
    revision: int
    age_s: float


class HistoryLost(Event, frozen=True):
    """The store forgot what changed; everything is read anew."""

    kind: str


class RecordUnreadable(Event, frozen=True):
    """A stored object can't be read."""

    kind: str
    name: str
    error: str


class RouterHeard(Event, frozen=True):
    """Another router is heard, for the first time or again."""

    router: str


class RouterSilent(Event, frozen=True):
    """Another router is not heard any more."""

    router: str
    silent_s: float


class PlaceChanged(Event, frozen=True):
    """This router reports to another hub, or to other hubs as one itself."""

    hub: str
    hubs: int


class RouterLoad(Event, frozen=True):
    """How busy this router was over the last `seconds`.

    `processor` is the part of one processor that the process used, and
    `deciding` the part of the time that passed in turns in which waiting
    requests were looked at, `looked_at` the requests for which servers were
    weighed in them. `waiting`, `oldest_s`, the wait of the oldest request,
    `held` and `lag_s`, the average lag of the event loop, are those at the end.
    """

    seconds: float
    processor: float
    deciding: float
    turns: int
    looked_at: int
    waiting: int
    oldest_s: float
    held: int
    lag_s: float


class BreakerOpened(Event, frozen=True):
    """A server is avoided after failures."""

    server: str
    outcome: str
    seconds: float


class ServerLeaving(Event, frozen=True):
    """A server said that it leaves; `router` told it, empty for an answer."""

    server: str
    router: str
    age_s: float


class ServerClosed(Event, frozen=True):
    """A server turned a request away and wants nothing for a time."""

    server: str
    asked_s: float
    closed_s: float


class HeaderUnreadable(Event, frozen=True):
    """A header of a server's answer has a value that means nothing."""

    server: str
    header: str


class Placed(Event, frozen=True):
    """A request may go to a server.

    `within` tells whether it is within its workspace's share: the `part` of the
    workspace's requests that is let through. `level` is what the workspace may
    get over the window in which `served` was begun for it, in tokens; -1 if it
    is not limited. The other routers' part of `served` is up to `use_age_s`
    old. `share` is `served` by `level`, and `spare` is how much capacity the
    whole fleet sees at the engines, from -1 to 1.
    """

    request: str
    workspace: str
    server: str
    waited_s: float
    first_event_s: float
    ahead: int
    unread: int
    prompt: int
    servers: int
    within: bool
    part: float
    spare: float
    share: float
    level: float
    served: float
    use_age_s: float
    pressure_s: float
    configuration: int
    servers_age_s: float


class NotAdmitted(Event, frozen=True):
    """A waiting request is given up before it was sent.

    `left_s` is how long it would still have waited, by those that went before
    it; -1 if none went. The share and what it rests on are as in `Placed`.
    """

    request: str
    workspace: str
    reason: str
    waited_s: float
    waiting: int
    within: bool
    part: float
    spare: float
    share: float
    level: float
    served: float
    use_age_s: float
    pressure_s: float
    servers: int
    left_s: float


class SendingEnded(Event, frozen=True):
    """A sending ended without an answer that is passed on."""

    request: str
    server: str
    end: str
    detail: str
    again: bool


class Answered(Event, frozen=True):
    """A server's answer was passed on whole."""

    request: str
    route: str
    server: str
    status: int
    first_event_s: float
    target_s: float
    longest_pause_s: float
    allowed_pause_s: float
    events: int
    seconds: float


class Refused(Event, frozen=True):
    """The router gave an answer of its own; `route` is empty if unknown."""

    request: str
    route: str
    reason: str
    status: int
    retry_after_s: float
    may_have_run: bool
    configuration: int
    configuration_age_s: float
    seconds: float


class RequestsShed(Event, frozen=True):
    """Requests that were refused unread since the last such line.

    `workspaces` names those with the most, and `last` one request.
    `limit_per_s` is how many requests a second are taken up; -1 for no limit.
    """

    requests: int
    workspaces: dict[str, int]
    last: str
    limit_per_s: float
    lag_s: float


class RequestsOffloaded(Event, frozen=True):
    """Requests sent to peers that ended since the last such line.

    `ends` counts them by how they ended.
    """

    ends: dict[str, int]


class OffloadFailed(Event, frozen=True):
    """A peer gave no whole answer to a request that was offloaded to it."""

    request: str
    peer: str
    end: str


class Cut(Event, frozen=True):
    """An answer under way was ended so that it does not look whole."""

    request: str
    route: str
    by: str
    events: int
    seconds: float


class CallerLeft(Event, frozen=True):
    """A caller closed its connection before its answer was whole."""

    request: str
    route: str
    seconds: float


class LinesDropped(Event, frozen=True):
    """Lines that were not written, as nobody read them in time."""

    count: int


def to_fields(event: Event) -> dict[str, Any]:
    """Returns an event as the fields of its line."""
    fields: dict[str, Any] = msgspec.to_builtins(event)
    return fields


def write(event: Event) -> None:
    """Writes one event as one log line."""
    logging.info(to_fields(event))
