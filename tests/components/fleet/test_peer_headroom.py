"""Tests the headroom that routers report to each other."""

from tamarackbridge.components.fleet import messages, peer_headroom, summary


def test_headroom_is_reported_with_the_list_of_routers() -> None:
    encoded = summary.encode_routers({"b": "z", "a": "z", "c": "y"}, {"a": 0.5})
    assert summary.decode_routers(encoded) == {"a": "z", "b": "z", "c": "y"}
    assert summary.decode_headroom(encoded) == {"a": 0.5, "b": 0.0, "c": 0.0}


def test_router_without_reported_headroom_has_none() -> None:
    """A router of a version without an offload port reports no headroom."""
    encoded = (messages.ZoneRouters("z", ("a", "b")),)
    assert summary.decode_headroom(encoded) == {"a": 0.0, "b": 0.0}


def test_old_headroom_is_not_relied_on() -> None:
    headroom = peer_headroom.PeerHeadroom()
    headroom.update("a", 0.5, 1.0)
    headroom.update("b", 0.5, 1.9)
    assert headroom.current(1.95).keys() == {"a", "b"}
    assert headroom.current(1.95 + peer_headroom.MAX_AGE_S / 2).keys() == {"b"}
