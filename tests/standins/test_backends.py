"""The stand-ins for backend servers keep the contract of backend servers."""

import asyncio
from collections.abc import AsyncIterator
import json
from typing import Any

import aiohttp
import pytest

from standins import backend, engine, plain_service, weight_store
from tamarackbridge.components.backend import client as backend_client
from tamarackbridge.components.backend import exceptions

BODY = {"prompt": "a b c", "max_tokens": 6, "stream": True}
FAST = {"first_token_s": 0.0, "token_s": 0.0}


@pytest.fixture
async def client() -> AsyncIterator[backend_client.BackendClient]:
    async with backend_client.BackendClient() as new_client:
        yield new_client


async def async_post(
    client: backend_client.BackendClient,
    server: backend.Backend,
    path: str = "/v1/completions",
    method: str = "POST",
    **headers: str,
) -> tuple[int, str, str]:
    sent = {backend.ATTR_REQUEST_ID: "r-1", "Idempotency-Key": "k"}
    sent |= {name.replace("_", "-"): text for name, text in headers.items()}
    body = json.dumps(BODY).encode()
    async with client.async_open(
        method, server.address, path, sent, body
    ) as resp:
        text = (await resp.read()).decode()
        return resp.status, resp.headers[backend.ATTR_REQUEST_ID], text


def events(text: str) -> list[Any]:
    lines = [line[6:] for line in text.split("\n") if line]
    return [json.loads(line) for line in lines if line != "[DONE]"]


async def test_stream_is_complete_and_resumes(
    client: backend_client.BackendClient,
) -> None:
    async with engine.Engine(engine.EngineFaults(**FAST)) as server:
        _, answer_id, full_text = await async_post(client, server)
        _, _, resumed_text = await async_post(
            client, server, X_Resume_Offset="4"
        )
    assert answer_id == "r-1"
    assert full_text.endswith("data: [DONE]\n\n")
    assert [event["index"] for event in events(full_text)] == list(range(6))
    assert events(full_text)[-1]["usage"] == {
        "prompt_tokens": 3,
        "completion_tokens": 6,
    }
    assert events(resumed_text) == events(full_text)[4:]
    assert server.runs == {"r-1": 1}


@pytest.mark.parametrize(
    ("fault", "status", "answer_id", "ends_with_done"),
    [
        ({"crossed": 1.0}, 200, "crossed-r-1", True),
        ({"truncated": 1.0}, 200, "r-1", False),
        ({"late_s": 0.01}, 200, "r-1", True),
    ],
)
async def test_faults_in_answers_to_streams(
    client: backend_client.BackendClient,
    fault: dict[str, float],
    status: int,
    answer_id: str,
    ends_with_done: bool,
) -> None:
    faults = engine.EngineFaults(**FAST, **fault)
    async with engine.Engine(faults) as server:
        answer = await async_post(client, server)
    assert answer[:2] == (status, answer_id)
    assert answer[2].endswith("data: [DONE]\n\n") is ends_with_done


@pytest.mark.parametrize("fault", [{"down": True}, {"cut_after": 3}])
async def test_aborted_connections_are_errors(
    client: backend_client.BackendClient, fault: dict[str, Any]
) -> None:
    faults = engine.EngineFaults(**FAST, **fault)
    async with engine.Engine(faults) as server:
        with pytest.raises(exceptions.BackendError):
            await async_post(client, server)


async def test_refusal_says_that_nothing_started(
    client: backend_client.BackendClient,
) -> None:
    async with plain_service.PlainService() as server:
        server.faults.refuse = 1.0
        async with client.async_open(
            "POST", server.address, "/fees", {}, b""
        ) as resp:
            assert resp.status == 503
            assert resp.headers[backend.ATTR_NOT_STARTED] == "true"
    assert server.runs == {}


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
async def test_request_with_lost_answer_is_never_retried(
    client: backend_client.BackendClient, method: str
) -> None:
    async with plain_service.PlainService() as server:
        await async_post(client, server, "/fees")
        server.faults.lose_answer = 1.0
        with pytest.raises(exceptions.BackendError):
            await async_post(client, server, "/fees", method)
    assert server.runs == {"k": 2}


async def test_server_crashes_under_too_many_requests_during_warm_up(
    client: backend_client.BackendClient,
) -> None:
    faults = plain_service.PlainFaults(work_s=0.5, cold_s=60.0, bears_cold=2)
    async with plain_service.PlainService(faults) as server:
        calls = (async_post(client, server, "/fees") for _ in range(3))
        results = await asyncio.gather(*calls, return_exceptions=True)
    assert [type(result) for result in results] == [exceptions.BackendError] * 3
    assert (server.falls, server.peak_cold) == (1, 3)


async def test_disconnect_of_the_client_cancels_the_stream(
    client: backend_client.BackendClient,
) -> None:
    faults = engine.EngineFaults(first_token_s=0.0, token_s=0.05)
    async with engine.Engine(faults) as server:
        sent = {backend.ATTR_REQUEST_ID: "r-1"}
        async with client.async_open(
            "POST",
            server.address,
            "/v1/completions",
            sent,
            json.dumps(BODY | {"max_tokens": 1000}).encode(),
        ) as resp:
            await resp.content.readline()
        await asyncio.wait_for(server.idle.wait(), 10)
    assert server.cancelled == 1
    assert server.tokens < 1000


@pytest.mark.parametrize(("check", "status"), [(True, 409), (False, 200)])
async def test_old_fencing_token(check: bool, status: int) -> None:
    async with (
        engine.Engine(engine.EngineFaults(check_fencing=check)) as server,
        aiohttp.ClientSession(server.url) as session,
    ):
        for token, expected in (("7", 200), ("6", status)):
            headers = {backend.ATTR_FENCING: token}
            async with session.post("/orders", headers=headers) as resp:
                assert resp.status == expected


async def test_control_sets_faults_and_restarts() -> None:
    async with (
        engine.Engine() as server,
        aiohttp.ClientSession(server.url) as session,
    ):
        for body, status in (({"down": True}, 200), ({"down": 3}, 400)):
            async with session.post("/control", json=body) as resp:
                assert resp.status == status
        async with session.post("/control/restart") as resp:
            assert (await resp.json())["boot"] == "2"
        assert server.faults.down


async def test_weight_store_limits_its_rate() -> None:
    async with (
        weight_store.WeightStore(rate=0.001) as server,
        aiohttp.ClientSession(server.url) as session,
    ):
        statuses = []
        for _ in range(3):
            async with session.get("/weights/lm-1") as resp:
                statuses.append(resp.status)
    assert statuses == [200, 429, 429]
