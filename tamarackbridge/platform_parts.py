"""What a router on the users' platform decides with."""

from tamarackbridge.components.admission import inputs
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import (
    choose,
    cold,
    estimate,
    health,
    ledger,
    notices,
    parts,
)
from tamarackbridge.platform import settings as platform_settings


def make(
    cfg: platform_settings.Settings, known: state.Knowledge
) -> inputs.Parts:
    """Makes what placement and admission decide with."""
    work = ledger.ReservationLedger()
    held = parts.PrefixCacheIndex()
    breakers = health.CircuitBreakers()
    estimator = estimate.Estimator()
    limiter = cold.WarmupLimiter(str(cfg.peers))
    told = notices.ServerNotices()
    chooser = choose.ServerSelector(
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
