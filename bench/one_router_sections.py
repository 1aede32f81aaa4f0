"""Runs a router of the platform and counts its processor time by purpose.

The time of an event loop callback counts for the purpose of its owner, except
for the time in functions that are sections with a purpose of their own. On
SIGUSR1 the sums are written as JSON.
"""

import asyncio
import collections
from collections.abc import Callable, Generator
import functools
import json
import pathlib
import signal
import sys
import time
from typing import Any

from tamarackbridge.components.admission import controller, share_tracker
from tamarackbridge.components.entry import connection
from tamarackbridge.components.fleet import sharing
from tamarackbridge.components.gateway import (
    forward,
    relay,
    request_validation,
    response_stream,
    servers,
)
from tamarackbridge.components.gateway import service as gateway
from tamarackbridge.components.placement import pool
from tamarackbridge.components.telemetry import events
from tamarackbridge.platform import start

_SECTIONS: tuple[tuple[Any, str, str], ...] = (
    (request_validation.RequestValidator, "read_request", "reading heads"),
    (request_validation.RequestValidator, "_check", "reading heads"),
    (controller.AdmissionController, "_run_pass", "deciding"),
    (pool.Pools, "opens_in_s", "deciding"),
    (share_tracker.ShareTracker, "record_request", "standing"),
    (sharing.SharingService, "receive", "sharing"),
    (sharing.SharingService, "_share", "sharing"),
    (relay.EventRelay, "feed", "relaying"),
    (response_stream, "has_left", "noticing leavers"),
    (gateway.GatewayService, "_reject", "refusing"),
    (events, "write", "logging"),
)

_COROUTINE_SECTIONS: tuple[tuple[Any, str, str], ...] = (
    (request_validation.RequestValidator, "async_accept", "reading bodies"),
    (forward.Forwarder, "async_send", "sending"),
    (response_stream.ResponseStream, "async_events", "relaying"),
    (response_stream.ResponseStream, "async_end", "relaying"),
    (connection.CallerConnection, "finish_response", "answering"),
)
"""Coroutines; each step from one suspension to the next is a section."""

_TASK_PURPOSES = {
    "RequestHandler": "handling requests",
    "ClientRequest": "sending",
    "BaseSelectorEventLoop": "accepting",
    "SharingService": "sharing",
    "PeerLink": "sharing",
    "Follower": "store",
    "LagService": "lag",
}

_PROTOCOL_PURPOSES = {
    connection.CallerConnection: "reading callers",
    servers.ServerProtocol: "reading servers",
}


class CpuAccount:
    """Adds up processor time by purpose; sections can be nested.

    Attributes:
        spent_s: Processor time without that of nested sections, by purpose.
        calls: Number of sections, by purpose.
    """

    def __init__(self) -> None:
        self.spent_s: collections.defaultdict[str, float]
        self.spent_s = collections.defaultdict(float)
        self.calls: collections.Counter[str] = collections.Counter()
        self._open_sections: list[str] = ["other"]
        self._charged_until = time.thread_time()

    def enter(self, name: str) -> None:
        """Begins a section inside the current one."""
        self._charge()
        self.calls[name] += 1
        self._open_sections.append(name)

    def leave(self) -> None:
        """Ends the current section."""
        self._charge()
        self._open_sections.pop()

    def _charge(self) -> None:
        now = time.thread_time()
        self.spent_s[self._open_sections[-1]] += now - self._charged_until
        self._charged_until = now

    def wrap(self, function: Callable[..., Any], name: str) -> Any:
        """Returns the function wrapped as a section of this purpose."""

        @functools.wraps(function)
        def counted(*args: Any, **kwargs: Any) -> Any:
            self.enter(name)
            try:
                return function(*args, **kwargs)
            finally:
                self.leave()

        return counted


class _MeteredCoroutine:
    """Awaitable that runs a coroutine with each step as a section."""

    def __init__(self, account: CpuAccount, coro: Any, name: str) -> None:
        self._account = account
        self._coro = coro
        self._name = name

    def __await__(self) -> Generator[Any, Any, Any]:
        send = self._account.wrap(self._coro.send, self._name)
        throw = self._account.wrap(self._coro.throw, self._name)
        resume, value = send, None
        while True:
            try:
                awaited = resume(value)
            except StopIteration as exc:
                return exc.value
            try:
                resume, value = send, (yield awaited)
            except BaseException as exc:
                resume, value = throw, exc


def _metered(account: CpuAccount, function: Any, name: str) -> Any:
    @functools.wraps(function)
    async def counted(*args: Any, **kwargs: Any) -> Any:
        return await _MeteredCoroutine(account, function(*args, **kwargs), name)

    return counted


def _purpose(handle: Any) -> str:
    """Returns the purpose of an event loop callback, by its owner."""
    owner = getattr(handle._callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        name = getattr(owner.get_coro(), "__qualname__", "")
        return _TASK_PURPOSES.get(name.partition(".")[0], f"task {name}")
    protocol = getattr(owner, "_protocol", None)
    if protocol is not None:
        for protocol_type, name in _PROTOCOL_PURPOSES.items():
            if isinstance(protocol, protocol_type):
                return name
        return "reading peers and store"
    name = getattr(handle._callback, "__qualname__", "")
    if "accept_connection" in name or "connection_made" in name:
        return "accepting"
    return f"callback {name}" if "TimerHandle" not in name else "timers"


def main() -> int:
    """Runs the router; the first argument is the file to write the sums to."""
    out = pathlib.Path(sys.argv[1])
    account = CpuAccount()
    for owner, attribute, name in _SECTIONS:
        wrapped = account.wrap(getattr(owner, attribute), name)
        setattr(owner, attribute, wrapped)
    for owner, attribute, name in _COROUTINE_SECTIONS:
        metered = _metered(account, getattr(owner, attribute), name)
        setattr(owner, attribute, metered)
    handles: Any = asyncio.Handle
    run = handles._run

    def counted_run(handle: asyncio.Handle) -> None:
        account.enter(_purpose(handle))
        try:
            run(handle)
        finally:
            account.leave()

    handles._run = counted_run

    def write_sums(*_: object) -> None:
        sums = {"spent_s": account.spent_s, "calls": account.calls}
        temporary = out.with_suffix(".new")
        temporary.write_text(json.dumps(sums))
        temporary.rename(out)

    signal.signal(signal.SIGUSR1, write_sums)
    return start.run()


if __name__ == "__main__":
    sys.exit(main())
