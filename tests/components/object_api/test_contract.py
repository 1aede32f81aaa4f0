"""Contract tests that every implementation of the object API must pass."""

from collections.abc import AsyncIterator, Sequence

import pytest

from bench import fake_store, harness
from standins import object_api as stand_in
from tamarackbridge import const, core
from tamarackbridge.components import object_api
from tamarackbridge.components.object_api import http, messages
from tamarackbridge.components.settings import models as settings

OK = messages.StoreStatus.OK
CONFLICT = messages.StoreStatus.CONFLICT
NOT_FOUND = messages.StoreStatus.NOT_FOUND
UNKNOWN = messages.StoreStatus.UNKNOWN
Obj = messages.StoredObject


class FakeApi:
    """Calls the fake store of the harness in virtual time."""

    def __init__(self) -> None:
        self.bus = harness.Harness(1)
        self.store = fake_store.FakeStore(self.bus, const.STORE_NODE)
        self.bus.add_fake(const.STORE_NODE, self.store)
        self.bus.add_fake("caller", self)
        self.replies: list[messages.StoreReply] = []

    def handle(
        self, delivery: core.Delivery, now: float
    ) -> Sequence[core.Envelope]:
        assert isinstance(delivery.msg, messages.StoreReply)
        self.replies.append(delivery.msg)
        return ()

    async def async_call(self, call: core.Message) -> messages.StoreReply:
        self.replies.clear()
        self.bus.send("caller", core.Envelope(const.STORE_NODE, call))
        self.bus.run_until(self.bus.now + 2.0)
        if self.replies:
            return self.replies[0]
        return messages.StoreReply(getattr(call, "tag", ""), UNKNOWN)

    def set_faults(self, down: bool, lose_answer: float) -> None:
        self.store.down = down
        self.store.lose_answer = lose_answer


class HttpApi:
    """Calls the stand-in through the HTTP client."""

    def __init__(self) -> None:
        self.store = stand_in.ObjectApi()
        self.adapter: http.HttpObjectApi

    async def async_call(self, call: core.Message) -> messages.StoreReply:
        return await self.adapter.async_call(call)

    def set_faults(self, down: bool, lose_answer: float) -> None:
        self.store.faults.down = down
        self.store.faults.lose_answer = lose_answer


@pytest.fixture(params=["fake", "http"])
async def api(
    request: pytest.FixtureRequest,
) -> AsyncIterator[FakeApi | HttpApi]:
    if request.param == "fake":
        yield FakeApi()
        return
    http_api = HttpApi()
    async with http_api.store:
        cfg = settings.PlatformSettings(
            object_api=http_api.store.url, vm_list=""
        )
        http_api.adapter = http.HttpObjectApi(cfg)
        async with http_api.adapter:
            yield http_api


def put(key: str, value: bytes, expect: int) -> messages.StorePut:
    return messages.StorePut(key, value, expect, "t")


CREATED = Obj("a/1", 1, b"x")
TABLE = [
    (messages.StoreGet("a/1", "t"), NOT_FOUND, (), 0),
    (put("a/1", b"x", messages.CREATE), OK, (CREATED,), 1),
    (put("a/1", b"y", messages.CREATE), CONFLICT, (CREATED,), 1),
    (put("a/1", b"y", 9), CONFLICT, (CREATED,), 1),
    (put("b/none", b"y", 9), CONFLICT, (), 1),
    (messages.StoreGet("a/1", "t"), OK, (CREATED,), 1),
    (put("a/1", b"y", 1), OK, (Obj("a/1", 2, b"y"),), 2),
    (put("b/x y%?", b"\0\xff", messages.CREATE), OK, None, 3),
    (messages.StoreList("a/", "t"), OK, (Obj("a/1", 2, b"y"),), 3),
    (messages.StoreList("b/", "t"), OK, (Obj("b/x y%?", 3, b"\0\xff"),), 3),
    (messages.StoreList("none/", "t"), OK, (), 3),
    (messages.StoreWatch("a/", 1, "t"), OK, (Obj("a/1", 2, b"y"),), 3),
    (messages.StoreWatch("a/", 2, "t"), OK, (), 3),
    (messages.StoreDelete("a/1", 1, "t"), CONFLICT, (Obj("a/1", 2, b"y"),), 3),
    (messages.StoreDelete("a/1", 2, "t"), OK, (), 4),
    (messages.StoreDelete("a/1", 2, "t"), NOT_FOUND, (), 4),
    (messages.StoreWatch("a/", 3, "t"), OK, (Obj("a/1", 4, b""),), 4),
    (put("a/1", b"z", messages.CREATE), OK, (Obj("a/1", 5, b"z"),), 5),
    (messages.StoreWatch("a/", 3, "t"), OK, (Obj("a/1", 5, b"z"),), 5),
]


async def test_every_call_of_the_table(api: object_api.ObjectApi) -> None:
    for step, (call, status, objects, version) in enumerate(TABLE):
        reply = await api.async_call(call)
        assert (reply.tag, reply.status) == ("t", status), (step, call)
        assert reply.version == version, (step, call)
        if objects is not None:
            assert reply.objects == objects, (step, call)


async def test_outage_has_no_effect(api: FakeApi | HttpApi) -> None:
    api.set_faults(down=True, lose_answer=0.0)
    reply = await api.async_call(put("a/1", b"x", messages.CREATE))
    assert reply == messages.StoreReply("t", UNKNOWN)
    api.set_faults(down=False, lose_answer=0.0)
    assert (await api.async_call(TABLE[0][0])).status is NOT_FOUND


async def test_answer_lost_after_effect(api: FakeApi | HttpApi) -> None:
    """A write that took effect without an answer has status `UNKNOWN`."""
    api.set_faults(down=False, lose_answer=1.0)
    reply = await api.async_call(put("a/1", b"x", messages.CREATE))
    assert reply == messages.StoreReply("t", UNKNOWN)
    api.set_faults(down=False, lose_answer=0.0)
    reply = await api.async_call(TABLE[0][0])
    assert reply.objects == (CREATED,)
    assert list(api.store.calls.values()) == [1, 1]


async def test_slow_answer_counts_as_unknown() -> None:
    http_api = HttpApi()
    http_api.store.faults.slow_s = 5.0
    async with http_api.store:
        cfg = settings.PlatformSettings(
            object_api=http_api.store.url, vm_list="", timeout_s=0.05
        )
        async with http.HttpObjectApi(cfg) as adapter:
            reply = await adapter.async_call(TABLE[0][0])
    assert reply == messages.StoreReply("t", UNKNOWN)
    assert adapter.unknown == 1
