"""Dependencies of the admission controller."""

from collections.abc import Collection
import dataclasses
from typing import Protocol

from tamarackbridge.components.admission import (
    observed_load,
    service_demand,
    shares,
)
from tamarackbridge.components.fleet import models as fleet
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


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """State of this router that the admission controller reads and updates."""

    bounds: fleet.Bounds
    local_copy: state.LocalCopy
    work: ledger.ReservationLedger
    cache_index: prefix_cache.PrefixCacheIndex
    breakers: health.CircuitBreakers
    estimator: estimate.Estimator
    warmup_limiter: warmup.WarmupLimiter
    server_notices: notices.ServerNotices
    server_selector: selector.ServerSelector
    block_quarantine: quarantine.BlockQuarantine
    demand: service_demand.ServiceDemand = dataclasses.field(
        default_factory=service_demand.ServiceDemand
    )
    rollouts: gate.Gate | None = None


class PeerRouters(Protocol):
    """Reports of the other routers, and notification of changes to them."""

    def routers(self) -> Collection[str]:
        """Returns the routers that may be sending, including this one."""
        ...

    def peers_use(self) -> dict[str, shares.Usage]:
        """Returns the usage of each workspace at the other routers."""
        ...

    def peers_engine_load(self) -> observed_load.ObservedLoad:
        """Returns the engine load that the other routers observe."""
        ...

    def peers_use_age_s(self) -> float:
        """Returns the age of the oldest report included in `peers_use`."""
        ...

    def request_report(self) -> None:
        """Requests that this router's work is reported to the others soon."""
        ...
