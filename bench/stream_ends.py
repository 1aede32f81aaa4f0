"""What callers are told of the ends of streams that no server has marked.

Counts both errors on the wire: cut streams that are told as whole, and whole
streams that are told as cut; what resuming broken streams costs their callers;
and what confirmations take of the retry budget. Each case has a service of its
own, so that no case teaches the router anything about another.
"""

import argparse
import asyncio
from collections.abc import Sequence
import dataclasses
import enum
import itertools
import json
import pathlib
import shutil
import time

from bench import (
    stream_ends_budget,
    stream_ends_outcomes,
    stream_ends_scene,
    stream_ends_tables,
)
from standins import platform_server

OUTPUT = pathlib.Path("build/measure/stream_ends.json")
CUT_AT = 5
PRIMERS = 8
"""Streams that a service sends whole before its case."""

SETTLED_PRIMERS = 2
"""The same after the time in which a router settles its opinion."""

SETTLE_S = 63.0
"""Time after the first streams of a service that never marks its ends until its
case, longer than a router distrusts a service that it has just seen."""

CONCURRENT_CASES = 12

_Ending = stream_ends_scene.Ending
_Framing = stream_ends_scene.Framing
_Reply = stream_ends_scene.Reply


class Second(enum.Enum):
    """What the server answers that is to go on."""

    MARKED = "goes on to the end, marked"
    UNMARKED = "goes on to the end, unmarked"
    TWO = "goes on for 2 events, closes unmarked"
    FAIL = "500"
    NOT_RUN = "503, not run"
    SILENT = "no answer"
    EMPTY = "empty, unmarked"


_SECOND_REPLIES = {
    Second.MARKED: _Reply(),
    Second.UNMARKED: _Reply(_Framing.UNMARKED_11),
    Second.TWO: _Reply(_Framing.UNMARKED_11, _Ending.BETWEEN, CUT_AT + 2),
    Second.FAIL: _Reply(status=500),
    Second.NOT_RUN: _Reply(status=503),
    Second.SILENT: _Reply(status=0),
    Second.EMPTY: _Reply(_Framing.UNMARKED_11, _Ending.BETWEEN, 0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One way in which a stream ends.

    Attributes:
        habit: How the service otherwise ends its streams: `marks` them,
            `never` marks them, or the same in a `new` router, which has just
            seen its first streams.
        route: `again` if the route is resumable, else `once`.
        version: HTTP version of the caller.
        framing: Framing of the first server's stream.
        ending: Its end.
        second: Answer to the next request.
    """

    habit: str
    route: str
    version: str
    framing: stream_ends_scene.Framing
    ending: stream_ends_scene.Ending
    second: Second

    @property
    def usual(self) -> stream_ends_scene.Reply:
        """How the service answers when nothing is wrong."""
        return _Reply(
            _Framing.CHUNKED if self.habit == "marks" else _Framing.UNMARKED_11
        )


class _Script:
    """Answers of one case's servers, in order of the requests."""

    def __init__(self, case: Case) -> None:
        first = _Reply(case.framing, case.ending, CUT_AT)
        self._replies = [first, _SECOND_REPLIES[case.second]]
        self._usual = case.usual

    def __call__(
        self, seen: platform_server.ReceivedRequest
    ) -> stream_ends_scene.Reply:
        is_primer = seen.headers["X-Request-Id"].startswith("primer")
        if is_primer or not self._replies:
            return self._usual
        return self._replies.pop(0)


def all_cases() -> list[Case]:
    """Returns all cases; without a resumption nobody asks a second server."""
    return [
        Case(*each)
        for each in itertools.product(
            stream_ends_outcomes.HABITS,
            ("again", "once"),
            ("1.1", "1.0"),
            _Framing,
            _Ending,
            Second,
        )
        if each[1] == "again" or each[-1] is Second.MARKED
    ]


async def _async_prime(
    service: stream_ends_scene.Service, address: str, streams: int
) -> list[bool]:
    """Lets a service send whole streams; returns which were told as whole."""
    caller = stream_ends_scene.caller(address)
    answers = [
        await caller.async_send(
            service.path("once"), f"primer-{service.name}-{service.arrivals}"
        )
        for _ in range(streams)
    ]
    return [each.says_whole for each in answers]


async def _async_run_case(
    case: Case,
    service: stream_ends_scene.Service,
    address: str,
    primers: Sequence[bool],
) -> stream_ends_outcomes.Outcome:
    caller = stream_ends_scene.caller(address, case.version)
    primed = service.arrivals
    path, request_id = service.path(case.route), f"case-{service.name}"
    began = time.monotonic()
    answer = await caller.async_send(path, request_id)
    took_s = time.monotonic() - began
    own = service.arrivals - primed
    resumption = None
    if case.route == "again" and not answer.says_whole:
        resumption = await caller.async_resume(path, request_id, answer)
    return stream_ends_outcomes.Outcome(
        case.habit,
        case.route,
        case.version,
        case.framing.value,
        case.ending.value,
        case.second.value,
        tuple(primers),
        answer.status,
        answer.events,
        answer.end,
        took_s,
        own,
        service.arrivals - primed,
        resumption,
    )


async def _async_run_cases(
    habit: str, cases: Sequence[Case]
) -> list[stream_ends_outcomes.Outcome]:
    """Runs cases at one router.

    Args:
        habit: How their services otherwise end their streams.
        cases: The cases.
    """
    services = [
        stream_ends_scene.Service(f"s{number}", _Script(case))
        for number, case in enumerate(cases)
    ]
    running = asyncio.Semaphore(CONCURRENT_CASES)
    async with stream_ends_scene.async_router(habit, services) as address:

        async def _async_prime_one(number: int, streams: int) -> list[bool]:
            async with running:
                return await _async_prime(services[number], address, streams)

        async def _async_run(number: int) -> stream_ends_outcomes.Outcome:
            async with running:
                return await _async_run_case(
                    cases[number], services[number], address, primers[number]
                )

        numbers = range(len(cases))
        primers = await asyncio.gather(
            *(_async_prime_one(number, PRIMERS) for number in numbers)
        )
        if habit == "never":
            await asyncio.sleep(SETTLE_S)
            settled = await asyncio.gather(
                *(_async_prime_one(each, SETTLED_PRIMERS) for each in numbers)
            )
            primers = [
                first + last
                for first, last in zip(primers, settled, strict=True)
            ]
        return await asyncio.gather(*map(_async_run, numbers))


def main(argv: Sequence[str]) -> None:
    """Runs all cases, prints tables in Markdown and writes the figures."""
    parser = argparse.ArgumentParser(prog="stream_ends")
    parser.add_argument("--only", choices=["", "ends", "budget"], default="")
    parser.add_argument("--before", help="figures of an earlier run")
    args = parser.parse_args(argv)
    before: list[stream_ends_outcomes.Outcome] = []
    if args.before:
        text = pathlib.Path(args.before).read_text(encoding="utf-8")
        ends = json.loads(text)["ends"]
        before = [stream_ends_outcomes.from_json(each) for each in ends]
    shutil.rmtree(stream_ends_scene.FOLDER, ignore_errors=True)
    stream_ends_scene.FOLDER.mkdir(parents=True)
    figures: dict[str, object] = {}
    if args.only != "budget":
        outcomes = []
        cases = all_cases()
        for habit in stream_ends_outcomes.HABITS:
            group = [case for case in cases if case.habit == habit]
            outcomes += asyncio.run(_async_run_cases(habit, group))
        figures["ends"] = [each.to_json() for each in outcomes]
        stream_ends_tables.print_all(outcomes, before)
    if args.only != "ends":
        figures["budget"] = asyncio.run(
            stream_ends_budget.async_measure(SETTLE_S)
        )
    OUTPUT.write_text(json.dumps(figures, indent=1), encoding="utf-8")
