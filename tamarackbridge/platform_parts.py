"""What a router on the users' platform decides with."""

from tamarackbridge.components.admission import inputs
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
) -> inputs.Parts:
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
    return inputs.Parts(
        bounds=cfg.bounds,
        known=known,
        work=work,
        held=held,
        breakers=breakers,
        estimator=estimator,
        limiter=limiter,
        told=told,
        chooser=chooser,
    )
