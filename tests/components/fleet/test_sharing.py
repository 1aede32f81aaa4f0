"""Two routers that tell each other, without a network between them."""

import asyncio
import math
from typing import cast

from tamarackbridge import core
from tamarackbridge.components.admission import shares
from tamarackbridge.components.fleet import messages, sharing
from tamarackbridge.components.placement import ledger, parts
from tamarackbridge.components.transport import service as transport
from tests.components.knowledge import builders


class VirtualClock:
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 0.0


class Wire:
    """Takes what a router posts."""

    def __init__(self) -> None:
        self.posted: list[tuple[str, core.Message]] = []
        self.addresses: dict[str, str] = {}

    def set_addresses(self, addresses: dict[str, str]) -> None:
        self.addresses = addresses

    def post(self, to: str, msg: core.Message) -> None:
        self.posted.append((to, msg))


class ListedRouters:
    def __init__(self, listed: tuple[str, ...] | None) -> None:
        self.listed = listed

    async def async_enter(self, address: str) -> bool:
        return self.listed is not None

    async def async_leave(self, address: str) -> None:
        """Nothing is kept."""

    async def async_routers(self) -> tuple[str, ...] | None:
        return self.listed


class Router:
    def __init__(
        self,
        listed: tuple[str, ...] | None,
        seeds: tuple[str, ...] = (),
        address: str = "r1",
    ) -> None:
        self.clock = VirtualClock()
        self.work, self.held = ledger.Ledger(), parts.HeldParts()
        self.wire = Wire()
        self.sharing = sharing.SharingService(
            address, seeds, ListedRouters(listed), self.clock
        )
        self.sharing.use(
            cast(transport.PeerService, self.wire),
            sharing.View(
                self.work,
                self.held,
                lambda: {"w": shares.Use(10.0, 5.0)},
                lambda: [("s1", 7)],
                lambda: 0,
                lambda: (3, 0.5),
            ),
            lambda: None,
        )

    def hear(self, src: str, msg: messages.Status, age_s: float = 0.0) -> None:
        self.sharing.receive(core.Delivery(src, msg, age_s))


STATUS = messages.Status(
    work=(messages.ServerWork("s1", 3, 9_000, 12_000),),
    held=(messages.Held("s1", 11),),
    use=(messages.WorkspaceUse("w", 100, 60),),
)


def test_what_is_heard_is_in_the_view() -> None:
    router = Router(())
    router.hear("r2", STATUS)
    assert router.work.at("s1", 100.0, 0.0).unread == 9_000
    assert router.sharing.others_use() == {"w": shares.Use(100.0, 60.0)}
    assert router.sharing.routers() == ("r1", "r2")


def test_late_message_counts_from_its_sending() -> None:
    router = Router(())
    router.hear("r2", STATUS, age_s=0.125)
    assert router.work.at("s1", 100.0, 40_000.0).unread == 4_000


def test_first_message_of_unknown_age_is_taken() -> None:
    router = Router(())
    router.hear("r2", STATUS, age_s=math.inf)
    assert router.work.at("s1", 100.0, 0.0).requests == 3


def test_silent_router_has_no_work_but_counts_for_budgets() -> None:
    router = Router(())
    router.hear("r2", STATUS)
    router.clock.now += sharing.SILENT_S + 0.1
    router.sharing._drop_silent()
    assert router.work.at("s1", router.clock.now, 0.0) == ledger.NOTHING
    assert router.sharing.others_use() == {}
    assert router.sharing.routers() == ("r1", "r2")
    router.clock.now += sharing.REMEMBERED_S
    assert router.sharing.routers() == ("r1",)


def test_work_without_use_is_forgotten_too() -> None:
    router = Router(())
    router.hear("r2", messages.Status(work=STATUS.work))
    router.clock.now += sharing.SILENT_S + 0.1
    router.sharing._drop_silent()
    assert router.work.at("s1", router.clock.now, 0.0) == ledger.NOTHING


def test_first_live_router_takes_gone_ones_off_the_list() -> None:
    first, second = Router(()), Router((), address="r3")
    for router in (first, second):
        router.hear("r2", STATUS)
        router.clock.now += sharing.GONE_S + 1
        router.hear("r1" if router is second else "r3", STATUS)
    assert first.sharing._drop_gone() == ["r2"]
    assert second.sharing._drop_gone() == []
    assert "r2" not in first.wire.addresses


def test_router_that_nobody_listed_is_told_from_then_on() -> None:
    router = Router(())
    router.hear("r9", STATUS)
    assert "r9" in router.wire.addresses


async def _async_until_posted(router: Router, count: int) -> None:
    for _ in range(2000):
        if len(router.wire.posted) >= count:
            return
        await asyncio.sleep(0.005)
    raise AssertionError("nothing was told")


async def test_listed_routers_and_seeds_are_told() -> None:
    router = Router(("r1", "r2"), seeds=("r1", "r3"))
    await router.sharing.on_start()
    await _async_until_posted(router, 2)
    await router.sharing.on_stop()
    assert {to for to, _ in router.wire.posted} == {"r2", "r3"}


async def test_seeds_are_enough_while_the_store_is_away() -> None:
    router = Router(None, seeds=("r3",))
    await router.sharing.on_start()
    await _async_until_posted(router, 1)
    await router.sharing.on_stop()
    to, msg = router.wire.posted[0]
    assert to == "r3"
    assert isinstance(msg, messages.Status)
    assert msg.held == (messages.Held("s1", 7),)
    assert msg.configuration == 3


def test_bounds_of_the_fleet_are_not_about_one_router() -> None:
    assert builders.BOUNDS.retry_window_s < sharing.REMEMBERED_S
