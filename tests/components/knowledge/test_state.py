import math

import pytest

from tamarackbridge.components.knowledge import const, source, state
from tests.components.knowledge import builders


@pytest.fixture
def local_copy() -> state.LocalCopy:
    return state.LocalCopy(builders.BOUNDS)


def test_older_configuration_is_ignored(local_copy: state.LocalCopy) -> None:
    assert local_copy.apply_configuration(builders.configuration(7))
    assert not local_copy.apply_configuration(builders.configuration(5))
    assert not local_copy.apply_configuration(builders.configuration(7))
    assert local_copy.configuration is not None
    assert local_copy.configuration.version == 7


def test_keys_are_not_accepted_on_an_old_copy(
    local_copy: state.LocalCopy,
) -> None:
    assert not local_copy.may_accept_keys(0.0)
    local_copy.confirm(source.Kind.CONFIGURATION, 10.0)
    assert local_copy.may_accept_keys(13.9)
    assert not local_copy.may_accept_keys(14.1)


def test_keys_are_not_accepted_beyond_the_limit_on_revoked_keys(
    local_copy: state.LocalCopy,
) -> None:
    local_copy.confirm(source.Kind.CONFIGURATION, 0.0)
    ages = [step / 100 for step in range(1000)]
    accepted = [age for age in ages if local_copy.may_accept_keys(age)]
    assert max(accepted) < builders.BOUNDS.revocation_s


def test_unknown_routes_and_keys_are_not_rejected_on_an_old_copy(
    local_copy: state.LocalCopy,
) -> None:
    local_copy.confirm(source.Kind.CONFIGURATION, 10.0)
    assert local_copy.may_reject_unknown(11.5)
    assert not local_copy.may_reject_unknown(12.0)


def test_earlier_confirmation_is_ignored(local_copy: state.LocalCopy) -> None:
    local_copy.confirm(source.Kind.CONFIGURATION, 10.0)
    local_copy.confirm(source.Kind.CONFIGURATION, 8.0)
    assert local_copy.configuration_age(11.0) == 1.0


def test_usable_servers(local_copy: state.LocalCopy) -> None:
    local_copy.register(builders.server("s1"), 0.0)
    local_copy.register(builders.server("s2", draining=True), 0.0)
    local_copy.register(builders.server("s3", zone="z2"), 0.0)
    local_copy.register(builders.server("s4", service="app"), 0.0)
    local_copy.zones_out = frozenset(("z2",))
    names = [usable.server.name for usable in local_copy.usable("lm", 1.0)]
    assert names == ["s1"]


def test_unregistered_server_is_used_only_for_the_grace_time(
    local_copy: state.LocalCopy,
) -> None:
    local_copy.register(builders.server("s1"), 0.0)
    local_copy.unregister("s1", 10.0, 1.5)
    local_copy.unregister("s1", 11.0, 1.5)
    assert local_copy.usable("lm", 11.4)
    assert not local_copy.usable("lm", 11.5)
    assert local_copy.remove_expired(11.5) == ("s1",)


def test_grace_time_ends_before_the_limit_on_leaving_servers(
    local_copy: state.LocalCopy,
) -> None:
    """Guards against requests to a server that has left.

    The store was unreachable from this router alone, so a grace time after the
    outage must not outlast the time limit on leaving servers.
    """
    local_copy.register(builders.server("s1"), 0.0)
    local_copy.unregister("s1", 10.0, const.EXPIRY_GRACE_S)
    latest_s = builders.BOUNDS.server_leave_s - const.LEAVE_MARGIN_S
    assert local_copy.usable("lm", 10.0 + latest_s - 0.1)
    assert not local_copy.usable("lm", 10.0 + latest_s + 0.1)


def test_server_that_registers_again_does_not_expire(
    local_copy: state.LocalCopy,
) -> None:
    local_copy.register(builders.server("s1"), 0.0)
    local_copy.unregister("s1", 10.0, 2.0)
    local_copy.register(builders.server("s1"), 11.0)
    assert local_copy.servers["s1"].expires_at == math.inf


def test_unregistered_server_without_grace_time_is_removed(
    local_copy: state.LocalCopy,
) -> None:
    local_copy.register(builders.server("s1"), 0.0)
    local_copy.unregister("s1", 10.0, 0.0)
    assert not local_copy.servers
