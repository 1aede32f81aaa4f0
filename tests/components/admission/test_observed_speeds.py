"""Tests of which responses teach the speed of a server."""

import random

import pytest
import result

from tamarackbridge.components.admission import controller
from tamarackbridge.components.gateway import jobs, models
from tamarackbridge.components.placement import server_speeds
from tests import clocks
from tests.components.admission import load_replay
from tests.components.knowledge import builders

ANSWERED = models.Disposition.ANSWERED


class Router:
    """An admission controller before one engine and one plain server."""

    def __init__(self) -> None:
        self.clock = clocks.VirtualClock(1.0)
        deps = load_replay.make_dependencies("r1", "z1", ("s0",), 1e6)
        deps.local_copy.register(builders.server("p0", "app", slots=6), 1.0)
        self.speeds = server_speeds.ServerSpeeds(deps.local_copy)
        deps.estimator.speeds = self.speeds
        self.controller = controller.AdmissionController(
            deps,
            self.clock,
            random.Random(1),
            load_replay.NoPeers(),
            lambda seconds: None,
        )

    async def async_send(
        self, head: models.ResponseHead, is_plain: bool = False
    ) -> None:
        """Sends one request that is responded to after half a second."""
        arrival = load_replay.Arrival(0.0, "w", 4_000, 100)
        job = load_replay.make_job(arrival, 1, self.clock.now)
        if is_plain:
            job.service = builders.plain_service()
            job.route = builders.route(service="app")
        admitted = await self.controller.async_admit(job)
        assert isinstance(admitted, result.Ok)
        permit = admitted.ok_value
        self.clock.now += 0.5
        permit.record_activity()
        permit.handle_notices(head)
        permit.finish(jobs.Outcome.SERVED)


def _head(
    status: int, disposition: models.Disposition = ANSWERED
) -> models.ResponseHead:
    load = models.ServerLoad(1, 0, 6, 2.0)
    return models.ResponseHead(status, disposition, True, (), load=load)


@pytest.mark.parametrize("is_plain", [False, True])
async def test_responses_and_figures_are_learned_from(is_plain: bool) -> None:
    router = Router()
    await router.async_send(_head(200), is_plain)
    estimate = router.speeds.estimate("p0" if is_plain else "s0", 1.6)
    assert estimate.weight > 0.5
    assert estimate.figure_weight > 0.5
    assert estimate.slowness > 1.5


@pytest.mark.parametrize("is_plain", [False, True])
@pytest.mark.parametrize(
    "head",
    [_head(503, models.Disposition.NOT_RUN), _head(500)],
    ids=["rejection", "failure"],
)
async def test_rejections_and_failures_teach_no_speed(
    head: models.ResponseHead, is_plain: bool
) -> None:
    """They are quick, and would make the server that sends them look fast."""
    router = Router()
    await router.async_send(head, is_plain)
    estimate = router.speeds.estimate("p0" if is_plain else "s0", 1.6)
    assert estimate.weight == 0.0
    assert estimate.figure_weight > 0.5
