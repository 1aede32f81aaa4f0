"""The measurement of planned stops, and a short run of it."""

import asyncio
import pathlib

import pytest

from bench import planned_stops_scene

Ending = planned_stops_scene.Ending


@pytest.mark.parametrize(
    ("sent_s", "ended_s", "ending", "work_ended_s", "lost"),
    [
        (1.0, 7.3, Ending.CUT, 7.4, False),
        (1.0, 7.3, Ending.CUT, 5.0, True),
        (3.1, 7.3, Ending.CUT, 7.4, True),
        (3.1, 3.2, Ending.REFUSED, None, False),
        (3.1, 5.0, Ending.COMPLETE, 5.0, False),
        (3.1, 5.0, Ending.FAILED, 5.0, False),
        (3.1, 3.2, Ending.UNANSWERED, None, False),
        (3.1, 3.5, Ending.UNANSWERED, None, True),
    ],
)
def test_lost_requests_are_told_from_excused_ones(
    sent_s: float,
    ended_s: float,
    ending: planned_stops_scene.Ending,
    work_ended_s: float | None,
    lost: bool,
) -> None:
    sent = planned_stops_scene.Sent("", sent_s, ended_s, ending, work_ended_s)
    assert planned_stops_scene.is_lost(sent) is lost


async def test_stopping_router_cuts_nothing_that_it_took_late(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against late requests that a slow server makes outlast a stop."""
    stops = [planned_stops_scene.Stop(seed, callers=16) for seed in (1, 2)]
    played = await asyncio.gather(
        *(each.async_play(tmp_path) for each in stops)
    )
    forwarded = [
        sent
        for requests, _ in played
        for sent in requests
        if sent.work_ended_s is not None
    ]
    assert forwarded
    assert [
        sent for sent in forwarded if planned_stops_scene.is_lost(sent)
    ] == []
