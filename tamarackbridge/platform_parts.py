"""Builds the parts that placement and admission share on the platform."""

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
    warmup,
)
from tamarackbridge.components.rollout import gate
from tamarackbridge.platform import settings as platform_settings


def make(
    cfg: platform_settings.Settings,
    local_copy: state.LocalCopy,
    rng: random.Random,
) -> dependencies.Dependencies:
    """Builds the shared parts of placement and admission."""
    work = ledger.ReservationLedger()
    cache_index = prefix_cache.PrefixCacheIndex()
    breakers = health.CircuitBreakers()
    estimator = estimate.Estimator()
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
        rollouts,
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
