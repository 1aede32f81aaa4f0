"""Tests of the operator interface over HTTP."""

import json

import aiohttp
import pytest

from tamarackbridge.components.object_api import messages as object_api
from tests.components.operator import fixtures

AUTH = {"Authorization": f"Bearer {fixtures.TOKEN}"}
ZONE = {"kind": "zone", "schema_version": 1, "name": "lahore"}


async def call(
    url: str, method: str = "GET", body: object = None, auth: bool = True
) -> tuple[int, str]:
    data = None if body is None else json.dumps(body)
    headers = AUTH if auth else {}
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.request(method, url, data=data) as resp:
            return resp.status, await resp.text()


READ_PATHS = [
    "/v1/records/zone",
    "/v1/records/zone/lahore",
    "/v1/status",
    "/v1/explain/gate",
    "/v1/requests/r1",
    "/v1/diagnostics",
    "/metrics",
    "/no/such/path",
]
WRONG_AUTHORIZATION = [
    "",
    "Bearer",
    "Bearer ",
    "Bearer wrong",
    f"Basic {fixtures.TOKEN}",
    f"Bearer {fixtures.HASH}",
    f"Bearer {fixtures.TOKEN}x",
    "Bearer \udcff",
]


async def test_no_path_answers_without_a_known_token() -> None:
    async with fixtures.running() as router:
        for path in READ_PATHS:
            status, _ = await call(router.url + path, auth=False)
            assert status == 401, path
        for value in WRONG_AUTHORIZATION:
            headers = {"Authorization": value}
            async with aiohttp.ClientSession(headers=headers) as session:
                url = f"{router.url}/v1/zones/lahore/take-out"
                async with session.post(url) as resp:
                    assert resp.status == 401, value
        assert router.store.calls == {}


async def test_health_and_readiness_need_no_token() -> None:
    async with fixtures.running() as router:
        health = await call(f"{router.url}/healthz", auth=False)
        ready = await call(f"{router.url}/readyz", auth=False)
        router.status.is_ready = False
        not_ready = await call(f"{router.url}/readyz", auth=False)
    assert (health, ready) == ((200, "ok\n"), (200, "ready\n"))
    assert not_ready == (503, "not ready\n")


REFUSED = [
    ("POST", "/v1/records", {}, 400, "one key, records"),
    ("POST", "/v1/records", {"records": [{"kind": "x"}]}, 400, "kind: one of"),
    (
        "POST",
        "/v1/records",
        {"records": [ZONE | {"schema_version": 9}]},
        400,
        "schema_version: zone has schema version 1",
    ),
    ("GET", "/v1/records/zoo", None, 404, "the kinds are"),
    ("GET", "/v1/records/zone/none", None, 404, "no record zone/none"),
    ("GET", "/v1/records/zone/none?schema_version=x", None, 404, "no record"),
    ("DELETE", "/v1/records/zone/none", None, 404, "no record zone/none"),
    ("DELETE", "/v1/records/zoo/none", None, 404, "the kinds are"),
    ("POST", "/v1/zones/none/take-out", None, 404, "no record zone/none"),
    ("POST", "/v1/zones/none/explode", None, 404, "no action"),
    ("POST", "/v1/servers/none/drain", None, 404, "no record server/none"),
]


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "detail"), REFUSED
)
async def test_refusal_says_why_and_changes_nothing(
    method: str, path: str, body: object, status: int, detail: str
) -> None:
    async with fixtures.running() as router:
        found = await call(router.url + path, method, body)
        assert router.store.version == 0
    assert found[0] == status
    assert detail in json.loads(found[1])["detail"]


def rewrite(router: fixtures.Router, times: int, value: bytes) -> None:
    """Has another operator write the zone before each of `times` writes."""
    left = [times]

    async def async_other() -> None:
        if not left[0]:
            return
        left[0] -= 1
        store = router.store
        store.version += 1
        key = "record/zone/lahore"
        obj = object_api.StoredObject(key, store.version, value)
        store.objects[key] = obj

    router.writer.hook = async_other


OTHER = json.dumps(ZONE | {"out": True}).encode()


async def test_conflict_names_the_other_change() -> None:
    async with fixtures.running() as router:
        records = f"{router.url}/v1/records"
        rewrite(router, 1, OTHER)
        status, text = await call(records, "POST", {"records": [ZONE]})
        assert router.store.objects["record/zone/lahore"].value == OTHER
    assert status == 409
    detail = json.loads(text)["detail"]
    assert "zone/lahore: another operator wrote version 1" in detail
    assert '"out": true' in detail


@pytest.mark.parametrize(("races", "status"), [(2, 200), (3, 409)])
async def test_flag_change_is_tried_again_after_a_conflict(
    races: int, status: int
) -> None:
    async with fixtures.running() as router:
        await call(f"{router.url}/v1/records", "POST", {"records": [ZONE]})
        rewrite(router, races, json.dumps(ZONE).encode())
        url = f"{router.url}/v1/zones/lahore/take-out"
        assert (await call(url, "POST"))[0] == status


async def test_store_outage_is_told_as_such() -> None:
    async with fixtures.running() as router:
        router.store.faults.down = True
        url = f"{router.url}/v1/records"
        status, text = await call(url, "POST", {"records": [ZONE]})
    assert status == 503
    assert "nothing was written" in text


async def test_lost_answer_is_told_as_unknown() -> None:
    async with fixtures.running() as router:

        async def async_lose() -> None:
            router.store.faults.lose_answer = 1.0

        router.writer.hook = async_lose
        url = f"{router.url}/v1/records"
        status, text = await call(url, "POST", {"records": [ZONE]})
        assert "record/zone/lahore" in router.store.objects
    assert status == 504
    assert "may have been written" in text


async def test_diagnostics_hold_no_secret() -> None:
    async with fixtures.running() as router:
        _, text = await call(f"{router.url}/v1/diagnostics")
    assert "hidden" not in text
    assert fixtures.HASH not in text
    assert text.count("**REDACTED**") >= 4
