"""Measures service gap, utilisation and control traffic of each policy."""

import argparse
from collections.abc import Sequence
import json
import pathlib

from bench import fairness_meter, fairness_records, fairness_scene
from tamarackbridge.components.dispatch import bound

OUTPUT = pathlib.Path("build/measure/fairness.json")
RUN_S = 600.0
LOOK_S = 0.1
"""Interval of the checks whether a backend server is fully used again."""
Report = dict[str, object]


def main(argv: Sequence[str]) -> None:
    """Runs all policies, prints a table and writes the figures."""
    parser = argparse.ArgumentParser(prog="fairness")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=RUN_S)
    parser.add_argument("--plot", action="store_true")
    args = parser.parse_args(argv)
    if args.seeds:
        report = measure_seeds(args.seed, args.seeds, args.seconds)
    else:
        report = measure(args.seed, args.seconds, args.plot)
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(report, indent=1))


def measure(seed: int, seconds: float, plot: bool) -> Report:
    """Measures every policy without faults, and the fleet with faults."""
    policies: Report = {}
    faults: Report = {}
    print_table_head()
    for name in fairness_scene.POLICIES:
        scene = run(name, seed, seconds, False)
        policies[name] = figures(scene, seconds, 0)
        print_row(name, policies[name])
        if plot:
            draw_plot(scene, name)
    scene = run("fleet", seed, seconds, True)
    faults["fleet"] = figures(scene, seconds, scene.leases.takeovers)
    print_row("fleet+faults", faults["fleet"])
    return {"seed": seed, "policies": policies, "faults": faults}


def measure_seeds(first: int, count: int, seconds: float) -> Report:
    """Measures the fleet's policy with many seeds, with and without faults."""
    seeds: Report = {}
    print_table_head()
    for seed in range(first, first + count):
        without_faults = figures(run("fleet", seed, seconds, False), seconds, 0)
        print_row(f"seed {seed}", without_faults)
        scene = run("fleet", seed, seconds, True)
        with_faults = figures(scene, seconds, scene.leases.takeovers)
        print_row(f"seed {seed}+faults", with_faults)
        seeds[str(seed)] = {"plain": without_faults, "faults": with_faults}
    return {"seeds": seeds}


def run(
    policy: str, seed: int, seconds: float, faults: bool, shards: int = 1
) -> fairness_scene.Scene:
    """Runs one policy."""
    sharing_policy = fairness_scene.POLICIES[policy]
    scene = fairness_scene.Scene(sharing_policy, seed, shards)
    if faults:
        schedule_faults(scene, seconds)
    scene.bus.run_until(seconds)
    return scene


def schedule_faults(scene: fairness_scene.Scene, seconds: float) -> None:
    """Schedules the faults at fixed fractions of the run."""
    bus = scene.bus
    engine = scene.servers["lm-0"]
    for fraction in (0.1, 0.3):
        bus.at(fraction * seconds, lambda: _replace_holder(scene))
    bus.at(0.45 * seconds, lambda: _isolate_two_routers(scene))
    bus.at(0.45 * seconds + 20.0, bus.faults.heal)
    for fraction in (0.55, 0.65):
        bus.at(fraction * seconds, lambda: engine.start_warm_up(20.0))
    bus.at(0.75 * seconds, lambda: _flood_workspace(scene, 0.8 * seconds))


def _replace_holder(scene: fairness_scene.Scene) -> None:
    shard = f"{fairness_records.ENGINE}/0"
    node = scene.leases.holders[shard]
    scene.kill_node(node)
    scene.bus.at(scene.bus.now + 20.0, lambda: scene.start_node(node))


def _isolate_two_routers(scene: fairness_scene.Scene) -> None:
    holders = set(scene.leases.holders.values())
    nodes = fairness_records.NODES
    inside = [node for node in nodes if node not in holders][:2]
    outside = [node for node in nodes if node not in inside]
    scene.bus.faults.isolate(inside, outside)
    cut_pairs = scene.bus.faults.cut
    scene.leases.reaches = lambda a, b: (a, b) not in cut_pairs


def _flood_workspace(scene: fairness_scene.Scene, until: float) -> None:
    for demand in scene.demands:
        if demand.workspace == fairness_records.FLOODED_WORKSPACE:
            scene.arrive(demand, 100 * demand.rate / 0.4, until)


def figures(
    scene: fairness_scene.Scene, seconds: float, takeovers: int
) -> Report:
    """Returns the results of one run; `takeovers` counts new shard holders."""
    services: Report = {}
    ratios: list[float] = []
    max_waits: list[float] = []
    utilisations: list[float] = []
    for name, meter in scene.meters.items():
        service = scene.records.services[name]
        gap_bound = bound.service_gap(scene.records, service)
        gap_bound = bound.gap_after_losses(gap_bound, takeovers)
        rate = fairness_records.capacity(scene.records, name)
        ratios.append(meter.gap.worst / gap_bound)
        max_waits.append(meter.max_wait_s)
        utilisations.append(meter.utilisation())
        services[name] = {
            "max_gap": meter.gap.worst,
            "pair": meter.gap.pair,
            "bound": gap_bound,
            "gap_over_bound": meter.gap.worst / gap_bound,
            "utilisation": meter.utilisation(),
            "max_wait_s": meter.max_wait_s,
            "wait_bound_s": bound.longest_wait_s(scene.records, service, rate),
            "longest_pause_s": meter.longest_pause_s,
            "grants": meter.grants,
            "refused": dict(meter.refused),
            "queue_s": _queue_times(scene, meter),
        }
    engine = scene.meters[fairness_records.ENGINE]
    gap_bound = bound.service_gap(
        scene.records, scene.records.services[fairness_records.ENGINE]
    )
    gap_bound = bound.gap_after_losses(gap_bound, takeovers)
    servers = scene.servers.values()
    return {
        "max_gap": engine.gap.worst,
        "bound": gap_bound,
        "gap_over_bound": max(ratios),
        "utilisation": min(utilisations),
        "max_wait_s": max(max_waits),
        "limit_violations": sum(srv.violations for srv in servers),
        "unwarned_starts": sum(srv.unwarned for srv in servers),
        "takeovers": takeovers,
        **_control_traffic(scene, seconds),
        "services": services,
    }


def _control_traffic(scene: fairness_scene.Scene, seconds: float) -> Report:
    network = scene.bus
    grants = sum(meter.grants for meter in scene.meters.values())
    return {
        "control_bytes_per_s": max(network.bytes_by_node.values(), default=0)
        / seconds,
        "messages_per_s": max(network.messages_by_node.values(), default=0)
        / seconds,
        "batches_per_s": max(network.batches_by_node.values(), default=0)
        / seconds,
        "cpu_ratio": max(network.cpu_s.values(), default=0.0) / seconds,
        "bytes_per_request": sum(network.bytes_by_node.values())
        / 2
        / max(grants, 1),
    }


def _queue_times(
    scene: fairness_scene.Scene, meter: fairness_meter.ServiceMeter
) -> Report:
    groups: dict[str, list[float]] = {"large": [], "small": [], "light": []}
    backlogged = {item.workspace for item in scene.demands if item.outstanding}
    for name, waits in meter.waits.items():
        group = "small" if name in backlogged else "light"
        group = "large" if name in fairness_records.LARGE_WORKSPACES else group
        groups[group].extend(waits)
    return {
        name: {
            "p50": fairness_meter.quantile(waits, 0.5),
            "p99": fairness_meter.quantile(waits, 0.99),
        }
        for name, waits in groups.items()
    }


def print_table_head() -> None:
    """Prints the head of the table."""
    print(
        f"{'policy':>16} {'max_gap':>9} {'bound':>9} {'gap/bound':>9} "
        f"{'utilis.':>8} {'wait s':>7} {'over':>5} {'unwarned':>8} "
        f"{'B/s':>7} {'msg/s':>6} {'cpu':>6}"
    )


def print_row(name: str, row: object) -> None:
    """Prints one line of the table."""
    assert isinstance(row, dict)
    print(
        f"{name:>16} {row['max_gap']:9.0f} {row['bound']:9.0f} "
        f"{row['gap_over_bound']:9.4f} {row['utilisation']:8.4f} "
        f"{row['max_wait_s']:7.2f} {row['limit_violations']:5d} "
        f"{row['unwarned_starts']:8d} {row['control_bytes_per_s']:7.0f} "
        f"{row['messages_per_s']:6.0f} {row['cpu_ratio']:6.4f}",
        flush=True,
    )


def draw_plot(scene: fairness_scene.Scene, name: str) -> None:
    """Draws normalised service by workspace over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(scene.meters), 1, figsize=(10, 10))
    for axis, (service, meter) in zip(axes, scene.meters.items(), strict=True):
        times = [time_s for time_s, _ in meter.history]
        for workspace in scene.records.workspaces:
            served = [values[workspace] for _, values in meter.history]
            axis.plot(times, served, label=workspace)
        axis.set_title(f"{service}: service by share, {name}")
        axis.set_xlabel("s")
    axes[0].legend(fontsize="x-small")
    figure.savefig(OUTPUT.parent / f"fairness-{name}.png")
    pyplot.close(figure)
