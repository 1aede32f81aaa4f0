"""Log of admission decisions: one event per request, with its inputs."""

from collections.abc import Callable
import math

from tamarackbridge.components.admission import observed_load, policy
from tamarackbridge.components.gateway import jobs, rejections
from tamarackbridge.components.knowledge import state
from tamarackbridge.components.placement import scoring
from tamarackbridge.components.telemetry import events


class DecisionLog:
    """Writes an event for each request that is sent or rejected."""

    def __init__(
        self,
        local_copy: state.LocalCopy,
        load: observed_load.LoadAverage,
        peers_use_age_s: Callable[[], float],
    ) -> None:
        self._local_copy = local_copy
        self._load = load
        self._peers_use_age_s = peers_use_age_s

    def log_sent(
        self,
        job: jobs.Job,
        option: scoring.ScoredServer,
        share_state: policy.ShareState,
        servers: int,
        now: float,
    ) -> None:
        """Logs that a request is sent to one of `servers` servers."""
        local_copy = self._local_copy
        cfg = local_copy.configuration
        events.write(
            events.Placed(
                request=job.request.request_id,
                workspace=job.workspace,
                server=option.registered.server.name,
                waited_s=round(now - job.arrived, 4),
                first_event_s=round(option.first_event_s, 4),
                ahead=option.tokens_ahead,
                unread=option.prefill_tokens,
                prompt=job.request.prompt_tokens,
                servers=servers,
                within=share_state.is_within_share,
                part=round(share_state.admitted_fraction, 3),
                spare=round(share_state.headroom, 3),
                share=round(share_state.limit_ratio, 3),
                level=_logged_limit(share_state.limit),
                served=round(share_state.served),
                use_age_s=round(self._peers_use_age_s(), 3),
                pressure_s=round(self._load.prefill_backlog_s, 4),
                configuration=cfg.version if cfg is not None else 0,
                servers_age_s=round(local_copy.servers_age(now), 3),
                copied=option.copied_tokens,
                copied_from=option.copy_from,
            )
        )

    def log_rejected(
        self,
        job: jobs.Job,
        rejection: rejections.Rejection,
        share_state: policy.ShareState,
        servers: int,
        expected_wait_s: float,
        waiting: int,
        now: float,
    ) -> None:
        """Logs that a request is rejected while `waiting` requests wait."""
        events.write(
            events.NotAdmitted(
                request=job.request.request_id,
                workspace=job.workspace,
                reason=rejection.reason.value,
                waited_s=round(now - job.arrived, 4),
                waiting=waiting,
                within=share_state.is_within_share,
                part=round(share_state.admitted_fraction, 3),
                spare=round(share_state.headroom, 3),
                share=round(share_state.limit_ratio, 3),
                level=_logged_limit(share_state.limit),
                served=round(share_state.served),
                use_age_s=round(self._peers_use_age_s(), 3),
                pressure_s=round(self._load.prefill_backlog_s, 4),
                servers=servers,
                left_s=round(expected_wait_s, 3)
                if math.isfinite(expected_wait_s)
                else -1.0,
            )
        )


def _logged_limit(tokens: float) -> float:
    """Returns a limit as it is logged; -1 for no limit."""
    return round(tokens) if math.isfinite(tokens) else -1.0
