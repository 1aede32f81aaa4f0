import pathlib

import pytest

from tamarackbridge.platform import exceptions, settings

FILE = """node=vm-1
zone=lahore
zones.multan=punjab
zones.lahore=punjab
ip=10.1.0.33
listen.front=10.1.0.33:8783
listen.readiness=10.1.0.33:8780
listen.control=10.1.0.33:8785
seeds=10.1.0.33:8785,10.2.0.18:8785
limits.max_fds=4100
heartbeat_ms=1200
bounds.grace_s=8
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
provider.address=10.200.1.7:8781
some.new.field=of a later version
"""


def test_parses_the_settings() -> None:
    cfg = settings.parse(FILE)
    assert cfg.node == "vm-1"
    assert cfg.zones == ("lahore", "multan")
    assert str(cfg.callers) == "10.1.0.33:8783"
    assert cfg.seeds == ("10.1.0.33:8785", "10.2.0.18:8785")
    assert cfg.bounds.revocation_s == 5.0
    assert cfg.bounds.shutdown_s == 8.0
    assert cfg.bounds.heartbeat_s == 1.2
    assert cfg.max_descriptors == 4100


def test_learning_of_speeds_can_be_turned_off() -> None:
    line = "placement.learned_speed=false\n"
    assert settings.parse(FILE).has_learned_speed
    assert not settings.parse(FILE + line).has_learned_speed


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("zone=", "zone"),
        ("node=", "node"),
        ("listen.front=nowhere", "listen.front"),
        ("listen.control=10.1.0.33:99999", "listen.control"),
        ("provider.address=", "provider.address"),
        ("bounds.grace_s=soon", "bounds.grace_s"),
        ("bounds.revoke_ms=-1", "bounds.revoke_ms"),
        ("heartbeat_ms=nan", "heartbeat_ms"),
        ("placement.learned_speed=off", "placement.learned_speed"),
    ],
)
def test_error_names_the_invalid_key(line: str, key: str) -> None:
    with pytest.raises(exceptions.SettingsError) as caught:
        settings.parse(FILE + line + "\n")
    assert caught.value.key == key
    assert "\n" not in str(caught.value)


def test_missing_file_is_an_error(tmp_path: pathlib.Path) -> None:
    with pytest.raises(exceptions.SettingsError):
        settings.load(tmp_path / "missing.conf")
