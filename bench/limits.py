"""Effect of each mechanism that limits the load on a backend server.

Simulates the start of a fleet, the restart of one server and the failure of
another: with all mechanisms, then with warm-up limits, circuit breaker and load
reports switched off one at a time.
"""

import argparse
from collections.abc import Callable, Sequence
import contextlib
import json
import pathlib
from unittest import mock

from bench import fairness, fairness_records, fairness_scene, fake_server
from tamarackbridge.components.dispatch import limits, occupancy

OUTPUT = pathlib.Path("build/measure/limits.json")
RUN_S = 120.0
RESTART_AT_S = 40.0
WARM_UP_S = 20.0
FAULT_AT_S = 80.0
FAULT_S = 20.0
Report = dict[str, object]
Variant = Callable[[], contextlib.AbstractContextManager[object]]


def _without_warm_up() -> contextlib.AbstractContextManager[object]:
    def warm_limit(self: limits.ServerLimit) -> int:
        return self._server.limit_warm

    original_init = limits.ServerLimit.__init__

    def init_at_warm_limit(self: limits.ServerLimit, *args: object) -> None:
        original_init(self, *args)  # type: ignore[arg-type]
        self._limit = self._server.limit_warm

    stack = contextlib.ExitStack()
    patches = (
        mock.patch.object(limits.ServerLimit, "_floor", warm_limit),
        mock.patch.object(limits.ServerLimit, "__init__", init_at_warm_limit),
    )
    for patch in patches:
        stack.enter_context(patch)
    return stack


def _without_breaker() -> contextlib.AbstractContextManager[object]:
    def limit_without_breaker(self: limits.ServerLimit, now: float) -> int:
        return self._limit

    return mock.patch.object(
        limits.ServerLimit, "allowed", limit_without_breaker
    )


def _without_load_reports() -> contextlib.AbstractContextManager[object]:
    def ignore(self: object, *args: object) -> None:
        return None

    stack = contextlib.ExitStack()
    for owner in (limits.ServerLimit, occupancy.Occupancy):
        stack.enter_context(
            mock.patch.object(owner, "handle_load_report", ignore)
        )
    return stack


VARIANTS: dict[str, Variant] = {
    "all": contextlib.nullcontext,
    "no cold start": _without_warm_up,
    "no breaker": _without_breaker,
    "no load reports": _without_load_reports,
}


def main(argv: Sequence[str]) -> None:
    """Runs every variant, prints a table and writes the figures."""
    parser = argparse.ArgumentParser(prog="limits")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args(argv)
    print(
        f"{'variant':>16} {'worst ratio':>11} {'above':>6} {'unwarned':>8} "
        f"{'full use s':>10} {'after cold s':>12} {'failed':>7} {'utilis.':>8}"
    )
    report: Report = {}
    for name, variant in VARIANTS.items():
        with variant():
            row = measure(args.seed)
        report[name] = row
        print_row(name, row)
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps({"seed": args.seed, "variants": report}))


def measure(seed: int) -> dict[str, float]:
    """Runs one variant: fleet start, server restart, failing server."""
    scene = fairness_scene.Scene(
        fairness_scene.POLICIES["fleet"], seed, cold_s=WARM_UP_S
    )
    restarted_server, failing_server = (
        scene.servers["lm-0"],
        scene.servers["lm-1"],
    )
    full_use = _FullUseRecorder(scene, restarted_server)
    scene.bus.at(
        RESTART_AT_S, lambda: restarted_server.start_warm_up(WARM_UP_S)
    )
    scene.bus.at(FAULT_AT_S, lambda: _set_failing(failing_server, True))
    scene.bus.at(
        FAULT_AT_S + FAULT_S, lambda: _set_failing(failing_server, False)
    )
    scene.bus.run_until(RUN_S)
    servers = scene.servers.values()
    meter = scene.meters[fairness_records.ENGINE]
    return {
        "worst_ratio": max(srv.worst_ratio for srv in servers),
        "limit_violations": sum(srv.violations for srv in servers),
        "unwarned_starts": sum(srv.unwarned for srv in servers),
        "full_use_s": full_use.first_after(0.0) - WARM_UP_S,
        "full_use_after_cold_s": full_use.first_after(RESTART_AT_S)
        - RESTART_AT_S
        - WARM_UP_S,
        "failed": failing_server.failed,
        "utilisation": meter.utilisation(),
    }


class _FullUseRecorder:
    """Records the times at which one server is loaded up to its warm limit."""

    def __init__(
        self, scene: fairness_scene.Scene, server: fake_server.FakeServer
    ) -> None:
        self._times: list[float] = []
        self._scene = scene
        self._server = server
        self._sample()

    def first_after(self, moment: float) -> float:
        """Returns the first time of full use more than 1 s after `moment`.

        Infinity if there was none.
        """
        return next(
            (
                sampled_at
                for sampled_at in self._times
                if sampled_at > moment + 1.0
            ),
            float("inf"),
        )

    def _sample(self) -> None:
        bus = self._scene.bus
        if len(self._server.runs) >= self._server.record.limit_warm:
            self._times.append(bus.now)
        bus.at(bus.now + fairness.LOOK_S, self._sample)


def _set_failing(server: fake_server.FakeServer, failing: bool) -> None:
    server.failing = failing


def print_row(name: str, row: dict[str, float]) -> None:
    """Prints one row of the table."""
    print(
        f"{name:>16} {row['worst_ratio']:11.2f} "
        f"{row['limit_violations']:6.0f} {row['unwarned_starts']:8.0f} "
        f"{row['full_use_s']:10.2f} {row['full_use_after_cold_s']:12.2f} "
        f"{row['failed']:7.0f} {row['utilisation']:8.4f}",
        flush=True,
    )
