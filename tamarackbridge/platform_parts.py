"""Builds the parts that placement and admission share on the platform."""

from tamarackbridge.components.admission import dependencies
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    estimate,
    health,
    ledger,
    notices,
    prefix_cache,
    selector,
    warmup,
)
from tamarackbridge.platform import settings as platform_settings


def make(
    cfg: platform_settings.Settings, local_copy: state.LocalCopy
) -> dependencies.Dependencies:
    """Builds the shared parts of placement and admission."""
    work = ledger.ReservationLedger()
    held_blocks = prefix_cache.PrefixCacheIndex()
    breakers = health.CircuitBreakers()
    estimator = estimate.Estimator()
    limiter = warmup.WarmupLimiter(str(cfg.peers))
    server_notices = notices.ServerNotices()
    chooser = selector.ServerSelector(
        str(cfg.peers),
        cfg.zone,
        local_copy,
        work,
        held_blocks,
        breakers,
        estimator,
        limiter,
        server_notices,
    )
    return dependencies.Dependencies(
        bounds=cfg.bounds,
        local_copy=local_copy,
        work=work,
        cached_blocks=held_blocks,
        breakers=breakers,
        estimator=estimator,
        warm_up_limiter=limiter,
        server_notices=server_notices,
        chooser=chooser,
    )
