"""What the confirmations of streams' ends take of the retry budget."""

import asyncio
import collections
from collections.abc import Sequence
import dataclasses
from typing import Any

from bench import stream_ends_caller, stream_ends_scene, stream_ends_tables
from standins import platform_server

BURST = 48
CUT_AT = 5
REPEATS = 3
PRIMERS = 8
STREAMS_BEFORE = 60
CONCURRENT_STREAMS = 10
READS = 30
SERVERS = 8

_Framing = stream_ends_scene.Framing
_Ending = stream_ends_scene.Ending
_Reply = stream_ends_scene.Reply
_Verdict = stream_ends_caller.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a service is asked before its reads.

    Attributes:
        name: Name in the table.
        usual: Framing in which it otherwise sends its streams.
        before: Framing of the streams before the reads; None for no streams.
    """

    name: str
    usual: stream_ends_scene.Framing
    before: stream_ends_scene.Framing | None = None


PLANS = (
    Plan("none", _Framing.CHUNKED),
    Plan("60 whole, marked", _Framing.CHUNKED, _Framing.CHUNKED),
    Plan(
        "60 whole, unmarked, service otherwise marks",
        _Framing.CHUNKED,
        _Framing.UNMARKED_11,
    ),
    Plan(
        "60 whole, unmarked, service never marks",
        _Framing.UNMARKED_11,
        _Framing.UNMARKED_11,
    ),
)


class _Script:
    """The first request of each caller fares badly, all others well."""

    def __init__(
        self,
        usual: stream_ends_scene.Framing,
        stream: stream_ends_scene.Reply | None,
    ) -> None:
        self._usual = _Reply(usual)
        self._stream = stream
        self.asked: collections.Counter[str] = collections.Counter()

    def __call__(
        self, seen: platform_server.ReceivedRequest
    ) -> stream_ends_scene.Reply:
        request_id = seen.headers["X-Request-Id"]
        self.asked[request_id] += 1
        if self.asked[request_id] > 1:
            return self._usual
        if request_id.startswith("read"):
            return _Reply(status=500)
        if request_id.startswith("stream") and self._stream is not None:
            return self._stream
        return self._usual

    def asked_again(self, kind: str) -> int:
        """Returns how many callers' requests of a kind were sent again."""
        return sum(
            times > 1 and request_id.startswith(kind)
            for request_id, times in self.asked.items()
        )


async def async_measure(settle_s: float) -> dict[str, Any]:
    """Measures bursts and reads; prints their tables, returns the figures.

    Args:
        settle_s: Time between the first streams of the services and the rest.
    """
    return {
        "bursts": await _async_measure_bursts(settle_s),
        "reads": await _async_measure_reads(settle_s),
    }


async def _async_prime(
    services: Sequence[stream_ends_scene.Service],
    caller: stream_ends_caller.Caller,
    settle_s: float,
) -> None:
    for service in services:
        for number in range(PRIMERS):
            await caller.async_send(service.path("once"), f"primer-{number}")
    await asyncio.sleep(settle_s)


async def _async_measure_bursts(settle_s: float) -> list[dict[str, Any]]:
    usuals = [_Framing.CHUNKED, _Framing.UNMARKED_11] * REPEATS
    scripts, services = [], []
    for number, usual in enumerate(usuals):
        burst = stream_ends_scene.Burst(BURST)
        cut = _Reply(_Framing.UNMARKED_11, _Ending.BETWEEN, CUT_AT, burst=burst)
        scripts.append(_Script(usual, cut))
        services.append(
            stream_ends_scene.Service(f"burst{number}", scripts[-1], SERVERS)
        )
    figures = []
    async with stream_ends_scene.async_router("bursts", services) as address:
        caller = stream_ends_scene.caller(address)
        await _async_prime(services, caller, settle_s)
        for usual, script, service in zip(
            usuals, scripts, services, strict=True
        ):
            path = service.path("again")
            names = [f"stream-{number}" for number in range(BURST)]
            primed = service.arrivals
            answers = await asyncio.gather(
                *(caller.async_send(path, name) for name in names)
            )
            resumed = await asyncio.gather(
                *(
                    caller.async_resume(path, f"resume-{name}", answer)
                    for name, answer in zip(names, answers, strict=True)
                    if not answer.says_whole
                )
            )
            verdicts = collections.Counter(
                stream_ends_caller.judge(each) for each in answers
            )
            figures.append(
                {
                    "service": "marks"
                    if usual is _Framing.CHUNKED
                    else "never marks",
                    "another server asked": script.asked_again("stream"),
                    **{each.value: verdicts[each] for each in _Verdict},
                    "resumed by their callers": len(resumed),
                    "with all events then": sum(
                        each.events == stream_ends_caller.EVENTS
                        for each in resumed
                    ),
                    "and told as whole": sum(
                        each.says_whole for each in resumed
                    ),
                    "longest s of resuming": round(
                        max((each.extra_s for each in resumed), default=0.0), 3
                    ),
                    "requests at servers": service.arrivals - primed,
                }
            )
    print(f"{BURST} unmarked streams cut at once, resumable route, a service")
    print("of its own each time; another server goes on to the end as usual")
    print()
    stream_ends_tables.print_table(
        list(figures[0]), [list(each.values()) for each in figures]
    )
    return figures


async def _async_measure_reads(settle_s: float) -> list[dict[str, Any]]:
    plans = [plan for plan in PLANS for _ in range(REPEATS)]
    scripts = [
        _Script(plan.usual, _Reply(plan.before) if plan.before else None)
        for plan in plans
    ]
    services = [
        stream_ends_scene.Service(f"reads{number}", script, SERVERS)
        for number, script in enumerate(scripts)
    ]
    figures = []
    async with stream_ends_scene.async_router("reads", services) as address:
        caller = stream_ends_scene.caller(address)
        await _async_prime(services, caller, settle_s)
        for plan, script, service in zip(plans, scripts, services, strict=True):
            answers = await _async_send_streams(plan, service, caller)
            reads = [
                await caller.async_send(service.path("read"), f"read-{number}")
                for number in range(READS)
            ]
            statuses = collections.Counter(each.status for each in reads)
            figures.append(
                {
                    "streams before": plan.name,
                    "confirmations asked": script.asked_again("stream"),
                    "streams told as cut": sum(
                        not each.says_whole for each in answers
                    ),
                    f"of {READS} failing reads retried": script.asked_again(
                        "read"
                    ),
                    "statuses of the reads": ", ".join(
                        f"{count} x {status}"
                        for status, count in sorted(statuses.items())
                    ),
                }
            )
    print(
        f"{READS} failing requests to /read/, one after another, after streams"
    )
    print("on a resumable route")
    print()
    stream_ends_tables.print_table(
        list(figures[0]), [list(each.values()) for each in figures]
    )
    return figures


async def _async_send_streams(
    plan: Plan,
    service: stream_ends_scene.Service,
    caller: stream_ends_caller.Caller,
) -> list[stream_ends_caller.Answer]:
    answers: list[stream_ends_caller.Answer] = []
    if plan.before is None:
        return answers
    for first in range(0, STREAMS_BEFORE, CONCURRENT_STREAMS):
        answers += await asyncio.gather(
            *(
                caller.async_send(service.path("again"), f"stream-{number}")
                for number in range(first, first + CONCURRENT_STREAMS)
            )
        )
    return answers
