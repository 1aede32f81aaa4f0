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
    cfg: platform_settings.Settings, copy: state.LocalCopy
) -> inputs.Parts:
    """Builds the shared parts of placement and admission."""
    work = ledger.Ledger()
    held_blocks = parts.HeldParts()
    breakers = health.Health()
    estimator = estimate.Estimator()
    limiter = cold.ColdLimiter(str(cfg.peers))
    server_notices = notices.Notices()
    chooser = choose.Chooser(
        str(cfg.peers),
        cfg.zone,
        copy,
        work,
        held_blocks,
        breakers,
        estimator,
        limiter,
        server_notices,
    )
    return inputs.Parts(
        bounds=cfg.bounds,
        known=copy,
        work=work,
        held=held_blocks,
        breakers=breakers,
        estimator=estimator,
        limiter=limiter,
        told=server_notices,
        chooser=chooser,
    )
