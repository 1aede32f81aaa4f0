"""Tests of copies of prompt blocks between engines."""

import dataclasses

import pytest

from tamarackbridge.components.gateway import jobs
from tamarackbridge.components.knowledge import models as knowledge
from tamarackbridge.components.placement import (
    block_copies,
    ledger,
    prefix_cache,
)
from tests.components.knowledge import builders
from tests.components.placement import test_selector

SERVICE = dataclasses.replace(
    builders.model_service(slots=2), token_bytes=300_000, link_bytes_per_s=60e9
)
"""Copies a token in 5 us, which takes 11 us to prefill."""

RATE = 90_000.0
HOLDER = block_copies.Holder("10.0.0.1:80", 0)


def test_long_block_is_copied() -> None:
    """Else engines spend their time on blocks that another one holds."""
    copy = block_copies.plan(SERVICE, HOLDER, 5_000, RATE)
    assert copy is not None
    assert (copy.address, copy.tokens) == (HOLDER.address, 5_000)
    assert copy.seconds == pytest.approx(0.028)


@pytest.mark.parametrize(
    ("service", "holder", "rate"),
    [
        (builders.model_service(slots=2), HOLDER, RATE),
        (dataclasses.replace(SERVICE, link_bytes_per_s=0.0), HOLDER, RATE),
        (dataclasses.replace(SERVICE, link_bytes_per_s=1e9), HOLDER, RATE),
        (SERVICE, None, RATE),
        (SERVICE, block_copies.Holder("10.0.0.1:80", 5_000), RATE),
        (SERVICE, HOLDER, 1e7),
    ],
)
def test_block_is_prefilled_where_a_copy_gains_nothing(
    service: knowledge.Service, holder: block_copies.Holder | None, rate: float
) -> None:
    """Slow links, fast engines, and services without copies."""
    assert block_copies.plan(service, holder, 5_000, rate) is None


def _world_with_holder(job: jobs.Job) -> tuple[test_selector.World, str]:
    """Returns engines of which the preferred one holds a job's blocks."""
    world = test_selector.World()
    for number in range(5):
        server = builders.server(f"s{number}", zone=f"z{number % 3}")
        world.local_copy.register(
            dataclasses.replace(server, address=f"10.0.0.{number}:80"), 0.0
        )
    holder = world.best(job).registered.server
    hashed = prefix_cache.hash_blocks(job.request.prompt_blocks)
    for block_hash, _ in hashed[:-1]:
        world.cache_index.record_use(holder.name, block_hash, 0.9)
    return world, holder.name


def test_full_holder_is_copied_from() -> None:
    """Else requests wait for the one engine that holds their blocks."""
    job = test_selector.make_job(service=SERVICE)
    world, holder = _world_with_holder(job)
    server = world.best(job).registered.server
    for _ in range(SERVICE.slots):
        world.work.begin(ledger.Reservation(server, "w", 12_000, 10, 0.95))
    option = world.best(job)
    assert option.registered.server.name != holder
    assert option.copy_from == server.address
    assert option.prefill_tokens == job.request.prompt_blocks[-1].tokens


def test_engine_that_holds_the_blocks_copies_nothing() -> None:
    """A copy from elsewhere would only occupy the link."""
    job = test_selector.make_job(service=SERVICE)
    world, holder = _world_with_holder(job)
    option = world.best(job)
    assert option.registered.server.name == holder
    assert option.copy_from == ""
