"""Checks files without starting a router."""

import pathlib

import result

from tamarackbridge.components.client import configuration_check, const, show
from tamarackbridge.components.configuration_check import models
from tamarackbridge.components.gateway import in_flight_limit
from tamarackbridge.components.settings import loader
from tamarackbridge.platform import configuration_file, exceptions
from tamarackbridge.platform import settings as platform_settings


def check_settings(settings: pathlib.Path, platform: bool) -> int:
    """Checks a settings file; returns the exit code.

    Args:
        settings: The file.
        platform: Whether it is one of the users' platform, not TOML.
    """
    if platform:
        try:
            node = platform_settings.load(settings).node
        except exceptions.SettingsError as exc:
            return show.fail(const.Exit.USAGE, str(exc))
    else:
        loaded = loader.load(settings)
        if isinstance(loaded, result.Err):
            return show.fail(const.Exit.USAGE, str(loaded.err_value))
        node = loaded.ok_value.node
    print(f"{settings}: ok, router {node}")
    return const.Exit.OK


def check_configuration(
    candidate: pathlib.Path,
    settings: pathlib.Path | None,
    in_force: pathlib.Path | None,
    servers: pathlib.Path | None,
    output: configuration_check.Output,
) -> int:
    """Checks a configuration for the users' platform; returns the exit code.

    Args:
        candidate: File with the configuration.
        settings: File with a router's settings; None if unknown.
        in_force: File with the configuration in force; None if unknown.
        servers: File with the registered servers; None if unknown.
        output: How to print.
    """
    try:
        report = _run(candidate, settings, in_force, servers)
    except exceptions.PlatformError as exc:
        return show.fail(const.Exit.USAGE, str(exc))
    configuration_check.print_report(report, output)
    return report.exit_code


def _run(
    candidate: pathlib.Path,
    settings: pathlib.Path | None,
    in_force: pathlib.Path | None,
    servers: pathlib.Path | None,
) -> configuration_check.Report:
    found = configuration_file.load(candidate)
    before = None
    if in_force is not None:
        before = configuration_file.load(in_force).candidate
        if before is None:
            raise configuration_file.FileError(
                f"{in_force}: not a configuration that routers can read"
            )
    return configuration_check.make_report(
        configuration_check.Source(str(candidate), found.line, found.key),
        found.candidate,
        found.errors,
        before,
        _deployment(settings, servers),
    )


def _deployment(
    settings: pathlib.Path | None, servers: pathlib.Path | None
) -> models.Deployment:
    counts = None
    if servers is not None:
        counts = configuration_file.load_servers(servers)
    if settings is None:
        return models.Deployment(counts)
    cfg = platform_settings.load(settings)
    return models.Deployment(
        counts,
        cfg.max_descriptors,
        in_flight_limit.max_body_bytes(cfg.memory_mb),
    )
