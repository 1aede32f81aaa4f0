"""Limits that every router of the fleet observes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits, in seconds, and rate limits agreed with the users.

    Attributes:
        server_leave_s: Time after which a backend server that leaves its
            service gets no more requests.
        shutdown_s: Time within which a stopped router exits.
        configuration_s: Time after which an accepted configuration is in
            force at every router.
        revocation_s: Time after which no router accepts a revoked key.
        retry_ratio: Retries allowed for each request to a service.
        retry_window_s: Window over which retries are counted.
        retry_slack: Retries allowed in each window in addition to the ratio.
        cold_overage: Factor allowed on the rate of a warming backend server.
        cold_slack: Requests per second allowed in addition to that factor.
        share_window_s: Window over which workspaces' shares are compared.
        reuse_window_s: Time within which a second prefill of the same prompt
            block counts as waste.
        heartbeat_s: Interval at which backend servers renew their
            registrations.
        exposure_share: Share of a service's requests that a version may get
            before it is accepted; 0 if rollouts are not carried out.
        exposure_slack: Requests that it may get in addition.
        rollback_s: Time after a version's 50th bad response from which none
            is sent to it.
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
    exposure_share: float = 0.0
    exposure_slack: float = 50.0
    rollback_s: float = 5.0
