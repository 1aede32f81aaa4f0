import math

import pytest

from tamarackbridge.components.knowledge import const, source, state
from tests.components.knowledge import builders


@pytest.fixture
def known() -> state.Knowledge:
    return state.Knowledge(builders.BOUNDS)


def test_versions_never_go_back(known: state.Knowledge) -> None:
    assert known.take_configuration(builders.configuration(7))
    assert not known.take_configuration(builders.configuration(5))
    assert not known.take_configuration(builders.configuration(7))
    assert known.configuration is not None
    assert known.configuration.version == 7


def test_keys_are_not_honoured_on_old_knowledge(
    known: state.Knowledge,
) -> None:
    assert not known.may_honour_keys(0.0)
    known.confirm(source.Kind.CONFIGURATION, 10.0)
    assert known.may_honour_keys(13.9)
    assert not known.may_honour_keys(14.1)


def test_age_ends_before_the_bound_on_revoked_keys(
    known: state.Knowledge,
) -> None:
    known.confirm(source.Kind.CONFIGURATION, 0.0)
    ages = [step / 100 for step in range(1000)]
    honoured = [age for age in ages if known.may_honour_keys(age)]
    assert max(honoured) < builders.BOUNDS.revocation_s


def test_nothing_is_denied_on_old_knowledge(known: state.Knowledge) -> None:
    known.confirm(source.Kind.CONFIGURATION, 10.0)
    assert known.may_deny(11.5)
    assert not known.may_deny(12.0)


def test_confirmation_never_goes_back(known: state.Knowledge) -> None:
    known.confirm(source.Kind.CONFIGURATION, 10.0)
    known.confirm(source.Kind.CONFIGURATION, 8.0)
    assert known.configuration_age(11.0) == 1.0


def test_usable_servers(known: state.Knowledge) -> None:
    known.register(builders.server("s1"), 0.0)
    known.register(builders.server("s2", draining=True), 0.0)
    known.register(builders.server("s3", zone="z2"), 0.0)
    known.register(builders.server("s4", service="app"), 0.0)
    known.zones_out = frozenset(("z2",))
    names = [it.server.name for it in known.usable("lm", 1.0)]
    assert names == ["s1"]


def test_lapsed_server_is_used_only_for_the_grace_time(
    known: state.Knowledge,
) -> None:
    known.register(builders.server("s1"), 0.0)
    known.unregister("s1", 10.0, 1.5)
    known.unregister("s1", 11.0, 1.5)
    assert known.usable("lm", 11.4)
    assert not known.usable("lm", 11.5)
    assert known.drop_lapsed(11.5) == ("s1",)


def test_grace_never_reaches_the_bound_on_leaving_servers(
    known: state.Knowledge,
) -> None:
    """The store was away for this router alone; the server has left."""
    known.register(builders.server("s1"), 0.0)
    known.unregister("s1", 10.0, const.EXPIRY_GRACE_S)
    latest_s = builders.BOUNDS.server_leave_s - const.LEAVE_MARGIN_S
    assert known.usable("lm", 10.0 + latest_s - 0.1)
    assert not known.usable("lm", 10.0 + latest_s + 0.1)


def test_server_that_registers_again_does_not_lapse(
    known: state.Knowledge,
) -> None:
    known.register(builders.server("s1"), 0.0)
    known.unregister("s1", 10.0, 2.0)
    known.register(builders.server("s1"), 11.0)
    assert known.servers["s1"].lapses_at == math.inf


def test_unregistered_server_is_gone_at_once(known: state.Knowledge) -> None:
    known.register(builders.server("s1"), 0.0)
    known.unregister("s1", 10.0, 0.0)
    assert not known.servers
