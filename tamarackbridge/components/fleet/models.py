"""Bounds that every router of the fleet keeps to."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times and shares agreed with the users; times in seconds.

    Attributes:
        server_leave_s: A leaving backend server gets no request after it.
        shutdown_s: A stopped router ends within it.
        configuration_s: An accepted configuration is in force after it.
        revocation_s: A revoked key is honoured nowhere after it.
        retry_ratio: Repeats for each request to a service.
        retry_window_s: Window over which repeats are counted.
        retry_slack: Repeats allowed beside the ratio in each window.
        cold_overage: Factor allowed on the rate of a cold backend server.
        cold_slack: Requests a second allowed beside that factor.
        share_window_s: Window over which workspaces' shares are compared.
        reuse_window_s: A prompt part read again within it is waste.
        heartbeat_s: Interval at which backend servers register anew.
    """

    server_leave_s: float
    shutdown_s: float
    configuration_s: float
    revocation_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    cold_overage: float
    cold_slack: float
    share_window_s: float
    reuse_window_s: float
    heartbeat_s: float
