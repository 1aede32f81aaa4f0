"""What a router on the users' platform decides with."""

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
    cfg: platform_settings.Settings, known: state.Knowledge
) -> dependencies.Dependencies:
    """Makes what placement and admission decide with."""
    work = ledger.ReservationLedger()
    held = prefix_cache.PrefixCacheIndex()
    breakers = health.CircuitBreakers()
    estimator = estimate.Estimator()
    limiter = warmup.WarmupLimiter(str(cfg.peers))
    told = notices.ServerNotices()
    chooser = selector.ServerSelector(
        str(cfg.peers),
        cfg.zone,
        known,
        work,
        held,
        breakers,
        estimator,
        limiter,
        told,
    )
    return dependencies.Dependencies(
        bounds=cfg.bounds,
        known=known,
        work=work,
        cached_blocks=held,
        breakers=breakers,
        estimator=estimator,
        warm_up_limiter=limiter,
        server_notices=told,
        chooser=chooser,
    )
