"""One log line for each request that goes, or is refused, with its inputs."""

from collections.abc import Callable
import math

from tamarackbridge.components.admission import pressure, verdict
from tamarackbridge.components.gateway import answers, jobs
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import choose
from tamarackbridge.components.telemetry import events


class DecisionLog:
    """Writes what decided on a request."""

    def __init__(
        self,
        known: state.LocalCopy,
        load: pressure.Pressure,
        use_age_s: Callable[[], float],
    ) -> None:
        self._known = known
        self._pressure = load
        self._use_age_s = use_age_s

    def placed(
        self,
        job: jobs.Job,
        option: choose.Option,
        standing: verdict.Standing,
        servers: int,
        now: float,
    ) -> None:
        """A request goes to a server, one of so many."""
        known = self._known
        cfg = known.configuration
        events.write(
            events.Placed(
                request=job.call.request_id,
                workspace=job.workspace,
                server=option.known.server.name,
                waited_s=round(now - job.arrived, 4),
                first_event_s=round(option.first_s, 4),
                ahead=option.ahead,
                unread=option.unread,
                prompt=job.call.prompt_tokens,
                servers=servers,
                within=standing.within,
                part=round(standing.part, 3),
                spare=round(standing.spare, 3),
                share=round(standing.ratio, 3),
                level=_or_none(standing.level),
                served=round(standing.served),
                use_age_s=round(self._use_age_s(), 3),
                pressure_s=round(self._pressure.wait_s, 4),
                configuration=cfg.version if cfg is not None else 0,
                servers_age_s=round(known.servers_age(now), 3),
            )
        )

    def refused(
        self,
        job: jobs.Job,
        refusal: answers.Refusal,
        standing: verdict.Standing,
        servers: int,
        left_s: float,
        waiting: int,
        now: float,
    ) -> None:
        """A request is refused, while so many wait."""
        events.write(
            events.NotAdmitted(
                request=job.call.request_id,
                workspace=job.workspace,
                reason=refusal.reason.value,
                waited_s=round(now - job.arrived, 4),
                waiting=waiting,
                within=standing.within,
                part=round(standing.part, 3),
                spare=round(standing.spare, 3),
                share=round(standing.ratio, 3),
                level=_or_none(standing.level),
                served=round(standing.served),
                use_age_s=round(self._use_age_s(), 3),
                pressure_s=round(self._pressure.wait_s, 4),
                servers=servers,
                left_s=round(left_s, 3) if math.isfinite(left_s) else -1.0,
            )
        )


def _or_none(tokens: float) -> float:
    """Returns tokens as they are logged; -1 for no limit."""
    return round(tokens) if math.isfinite(tokens) else -1.0
