"""Runs one stand-in: `python -m standins NAME --port P --control JSON`."""

import argparse
import asyncio
from collections.abc import Callable
import dataclasses
import json
import signal

import msgspec

from standins import (
    base,
    engine,
    object_api,
    plain_service,
    vm_list,
    weight_store,
)

_STAND_INS: dict[str, Callable[[], base.StandIn]] = {
    "object-api": object_api.ObjectApi,
    "vm-list": vm_list.VmList,
    "engine": engine.Engine,
    "plain": plain_service.PlainService,
    "weight-store": weight_store.WeightStore,
}


async def _async_run(stand_in: base.StandIn, port: int) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stand_in.async_start(port)
    print(f"listening on {stand_in.address}", flush=True)
    await stop.wait()
    await stand_in.async_stop()


def main() -> None:
    """Runs one stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="standins", description=__doc__)
    parser.add_argument("name", choices=sorted(_STAND_INS))
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument(
        "--control", default="{}", help="faults and delays, as a JSON object"
    )
    args = parser.parse_args()
    stand_in = _STAND_INS[args.name]()
    faults_json = dataclasses.asdict(stand_in.faults) | json.loads(args.control)
    stand_in.set_faults(msgspec.convert(faults_json, type(stand_in.faults)))
    asyncio.run(_async_run(stand_in, args.port))


if __name__ == "__main__":
    main()
