"""The store comes back from a copy from before an engine's cold start."""

import asyncio
import contextlib
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import testbed

ZONES = ["lahore", "faisalabad", "multan"]
CLIENTS_PER_ROUTER = 8
COLD_S = 3.0
BOUND = int(16 * 1.5 + 5)
"""Requests in a second: `cold_per_s` x `cold_overage` + `cold_slack`."""

CRASH_AT = 60
"""Requests in a second, well above `cold_per_s`, at which it crashes."""


async def stream(req: testbed.Request, writer: asyncio.StreamWriter) -> bool:
    """Runs a short stream."""
    head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    for name, value in testbed.seal(req).items():
        head += f"{name}: {value}\r\n"
    writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
    for number in range(2):
        await asyncio.sleep(0.03)
        data = f"id: {number}\ndata: x\n\n".encode()
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def case(bed: testbed.Bed) -> bool:
    """Returns whether FAILBACK was broken."""
    bed.store.era = 1
    warm = await bed.add_engine("lm-1", "lm", ZONES[0], 64)
    warm.on_run = stream
    await bed.configure()
    await bed.add_routers(ZONES)
    sent_at: dict[str, float] = {}
    answers: dict[str, int] = {}
    stop = asyncio.Event()

    async def client(router: testbed.Router, number: int) -> None:
        conn = testbed.Connection(router.front)
        while not stop.is_set():
            sent = bed.record.now()
            request_id, answer = await bed.request(
                conn,
                "draft",
                bed.keys[number % 2],
                3000,
                body=b"prompt",
                headers={
                    "X-Model": "m",
                    "X-Token-Usage": "200,14",
                    "X-Prompt-Prefix": f"{bed.rng.getrandbits(32):08x}:200",
                },
                to=router.name,
            )
            sent_at[request_id] = sent
            result = f"{answer.status}{answer.error[:3]}"
            answers[result] = answers.get(result, 0) + 1
            await asyncio.sleep(0.2)
        conn.close()

    clients = [
        asyncio.create_task(client(router, number))
        for router in bed.routers
        for number in range(CLIENTS_PER_ROUTER)
    ]
    await asyncio.sleep(4)
    saved = bed.store.copy()
    bed.record.say("COPY of the store is taken")
    await asyncio.sleep(2)
    warm.stop()
    bed.record.say("CRASH lm-1")
    await asyncio.sleep(1)
    cold = testbed.Engine(
        bed.store, bed.record, "lm-1", "lm", warm.address, ZONES[0], 64
    )
    cold.cold_ms = int(COLD_S * 1000)
    cold.born = int(time.time() * 1000)
    crashed: list[float] = []

    async def cold_stream(
        req: testbed.Request, writer: asyncio.StreamWriter
    ) -> bool:
        now = bed.record.now()
        recent = sum(1 for at, _ in cold.arrivals if at > now - 1)
        if recent >= CRASH_AT and not crashed:
            crashed.append(now)
            bed.record.say(f"CRASH of the cold engine, {cold.running} running")
            cold.stop()
            return False
        return await stream(req, writer)

    cold.on_run = cold_stream
    bed.engines["lm-1"] = cold
    back = bed.record.now()
    await cold.start()
    bed.record.say("BACK lm-1, cold for 3 s")

    async def warm_up() -> None:
        while cold.cold_ms > 0:
            await asyncio.sleep(0.1)
            left = COLD_S - (bed.record.now() - back)
            cold.cold_ms = max(int(left * 1000), 0)

    warming = asyncio.create_task(warm_up())
    await asyncio.sleep(0.9)
    if testbed.TROUBLE:
        bed.record.say("STORE goes away")
        await bed.store.go_away()
        await asyncio.sleep(0.4)
        await bed.store.come_back(saved)
        bed.record.say("STORE is back from the copy, era 2")
    await warming
    stop.set()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(5):
            await asyncio.gather(*clients)

    arrivals = [
        (at, sent_at.get(request_id, at - 2))
        for at, request_id in cold.arrivals
        if at < back + COLD_S
    ]
    worst = max(
        (
            sum(1 for at, sent in arrivals if sent >= begin and at < begin + 1)
            for begin, _ in arrivals
        ),
        default=0,
    )
    bed.record.say(f"answers: {answers}")
    bed.record.say(
        f"most requests sent and arrived in one second: {worst},"
        f" allowed {BOUND}; crashed: {bool(crashed)}"
    )
    return worst > BOUND


testbed.main(__file__, case, 118.0)
