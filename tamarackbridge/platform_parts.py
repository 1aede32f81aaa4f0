"""Builds the parts that placement and admission share on the platform."""

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
    cfg: platform_settings.Settings, known: state.LocalCopy
) -> inputs.Parts:
    """Builds the shared parts of placement and admission."""
    work = ledger.Ledger()
    held = parts.HeldParts()
    breakers = health.Health()
    estimator = estimate.Estimator()
    limiter = cold.ColdLimiter(str(cfg.peers))
    told = notices.Notices()
    chooser = choose.Chooser(
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
