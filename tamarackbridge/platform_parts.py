"""Builds the parts that placement and admission share on the platform."""

from collections.abc import Callable
import random

from tamarackbridge.components.admission import dependencies
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    estimate,
    health,
    ledger,
    notices,
    prefix_cache,
    quarantine,
    selector,
    server_speeds,
    warmup,
)
from tamarackbridge.components.rollout import gate
from tamarackbridge.platform import settings as platform_settings


def make(
    cfg: platform_settings.Settings,
    local_copy: state.LocalCopy,
    lag_s: Callable[[], float],
    rng: random.Random,
) -> dependencies.Dependencies:
    """Builds the shared parts of placement and admission.

    Args:
        cfg: Settings of the router.
        local_copy: Its copy of the store's data.
        lag_s: Returns the recent lag of its event loop.
        rng: Source of randomness.
    """
    work = ledger.ReservationLedger()
    cache_index = prefix_cache.PrefixCacheIndex()
    breakers = health.CircuitBreakers()
    speeds = None
    if cfg.has_learned_speed:
        speeds = server_speeds.ServerSpeeds(local_copy, lag_s)
    estimator = estimate.Estimator(speeds)
    limiter = warmup.WarmupLimiter(str(cfg.peers))
    server_notices = notices.ServerNotices()
    rollouts = None
    if cfg.bounds.exposure_share > 0:
        rollouts = gate.Gate(
            str(cfg.peers),
            cfg.bounds,
            local_copy,
            work,
            rng,
        )
    server_selector = selector.ServerSelector(
        str(cfg.peers),
        cfg.zone,
        local_copy,
        work,
        cache_index,
        breakers,
        estimator,
        limiter,
        server_notices,
        rollouts=rollouts,
    )
    return dependencies.Dependencies(
        bounds=cfg.bounds,
        local_copy=local_copy,
        work=work,
        cache_index=cache_index,
        breakers=breakers,
        estimator=estimator,
        warmup_limiter=limiter,
        server_notices=server_notices,
        server_selector=server_selector,
        block_quarantine=quarantine.BlockQuarantine(str(cfg.peers)),
        rollouts=rollouts,
    )
