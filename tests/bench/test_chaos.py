"""Tests of the chaos measurement: fixed faults, and detection of violations."""

from unittest import mock

from bench import chaos, faults
from tamarackbridge.components.membership import lease_state

PAUSED_IN_A_RACE = (
    faults.Fault(20.435532452537064, "pause", 10.148955546713404, 761068977),
    faults.Fault(23.370588131863073, "race", 7.49385159312218, 1021419669),
)
"""Schedule that once made a router start work under an old configuration.

The router was paused while two routers changed a zone.
"""

PAUSED_HOLDER = (
    faults.Fault(30.82299667216768, "zone_out", 17.90557943847339, 53246119),
    faults.Fault(36.80556374016114, "pause", 0.9929788510947941, 677129422),
)
"""Schedule in which two routers hold one shard if a takeover doesn't wait.

A new holder must wait until the old lease has expired on any clock.
"""

MUTES = tuple(
    faults.Fault(at, "mute", 6.0, pick)
    for at, pick in ((15.0, 1), (22.0, 2), (29.0, 3), (36.0, 4))
)


def test_router_paused_in_a_race_never_starts_under_old_configuration() -> None:
    assert chaos.run_faults(9, PAUSED_IN_A_RACE).violations == ()


def test_routers_that_only_receive_violate_no_invariant() -> None:
    outcome = chaos.run_faults(1, MUTES)

    assert outcome.violations == ()
    assert min(outcome.checks[name] for name in ("holder", "start")) > 100


def test_missing_fence_is_detected() -> None:
    with mock.patch.object(lease_state, "DRIFT_FACTOR", -3.0):
        outcome = chaos.run_faults(7, PAUSED_HOLDER)

    assert "held by" in outcome.violations[0]
