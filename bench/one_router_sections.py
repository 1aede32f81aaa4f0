"""A router on the platform whose processor time is counted by purpose.

Each callback of the event loop counts for the purpose of its owner, less what
functions within it take for purposes of their own. Writes the sums as JSON
each time it gets SIGUSR1.
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

_STEPS: tuple[tuple[Any, str, str], ...] = (
    (request_validation.RequestValidator, "async_accept", "reading bodies"),
    (forward.Forwarder, "async_send", "sending"),
    (response_stream.ResponseStream, "async_events", "relaying"),
    (response_stream.ResponseStream, "async_end", "relaying"),
    (connection.CallerConnection, "finish_response", "answering"),
)
"""Coroutines; each step between two waits is a section."""

_TASKS = {
    "RequestHandler": "handling requests",
    "ClientRequest": "sending",
    "BaseSelectorEventLoop": "accepting",
    "SharingService": "sharing",
    "PeerLink": "sharing",
    "Follower": "store",
    "LagService": "lag",
}

_PROTOCOLS = {
    connection.CallerConnection: "reading callers",
    servers.ServerProtocol: "reading servers",
}


class Account:
    """Sums of processor time by purpose."""

    def __init__(self) -> None:
        self.spent_s: collections.defaultdict[str, float]
        self.spent_s = collections.defaultdict(float)
        self.calls: collections.Counter[str] = collections.Counter()
        self._names: list[str] = ["other"]
        self._at = time.thread_time()

    def enter(self, name: str) -> None:
        """Begins a section within the present one."""
        self._charge()
        self.calls[name] += 1
        self._names.append(name)

    def leave(self) -> None:
        """Ends the present section."""
        self._charge()
        self._names.pop()

    def _charge(self) -> None:
        now = time.thread_time()
        self.spent_s[self._names[-1]] += now - self._at
        self._at = now

    def wrap(self, function: Callable[..., Any], name: str) -> Any:
        """Returns a function that counts as a section."""

        @functools.wraps(function)
        def counted(*args: Any, **kwargs: Any) -> Any:
            self.enter(name)
            try:
                return function(*args, **kwargs)
            finally:
                self.leave()

        return counted


class _Stepped:
    """A coroutine whose steps count as sections."""

    def __init__(self, account: Account, coro: Any, name: str) -> None:
        self._account = account
        self._coro = coro
        self._name = name

    def __await__(self) -> Generator[Any, Any, Any]:
        send = self._account.wrap(self._coro.send, self._name)
        throw = self._account.wrap(self._coro.throw, self._name)
        step, value = send, None
        while True:
            try:
                waited = step(value)
            except StopIteration as exc:
                return exc.value
            try:
                step, value = send, (yield waited)
            except BaseException as exc:
                step, value = throw, exc


def _stepped(account: Account, function: Any, name: str) -> Any:
    @functools.wraps(function)
    async def counted(*args: Any, **kwargs: Any) -> Any:
        return await _Stepped(account, function(*args, **kwargs), name)

    return counted


def _purpose(handle: Any) -> str:
    owner = getattr(handle._callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        name = getattr(owner.get_coro(), "__qualname__", "")
        return _TASKS.get(name.partition(".")[0], f"task {name}")
    protocol = getattr(owner, "_protocol", None)
    if protocol is not None:
        for kind, name in _PROTOCOLS.items():
            if isinstance(protocol, kind):
                return name
        return "reading peers and store"
    name = getattr(handle._callback, "__qualname__", "")
    if "accept_connection" in name or "connection_made" in name:
        return "accepting"
    return f"callback {name}" if "TimerHandle" not in name else "timers"


def main() -> int:
    """Runs the router; the first argument names the file of the sums."""
    out = pathlib.Path(sys.argv[1])
    account = Account()
    for owner, attribute, name in _SECTIONS:
        wrapped = account.wrap(getattr(owner, attribute), name)
        setattr(owner, attribute, wrapped)
    for owner, attribute, name in _STEPS:
        stepped = _stepped(account, getattr(owner, attribute), name)
        setattr(owner, attribute, stepped)
    handles: Any = asyncio.Handle
    run = handles._run

    def counted_run(handle: asyncio.Handle) -> None:
        account.enter(_purpose(handle))
        try:
            run(handle)
        finally:
            account.leave()

    handles._run = counted_run

    def tell(*_: object) -> None:
        found = {"spent_s": account.spent_s, "calls": account.calls}
        fresh = out.with_suffix(".new")
        fresh.write_text(json.dumps(found))
        fresh.rename(out)

    signal.signal(signal.SIGUSR1, tell)
    return start.run()


if __name__ == "__main__":
    sys.exit(main())
