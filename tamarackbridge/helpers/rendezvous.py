"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

from collections.abc import Iterable
import hashlib


def _weight(node: str, key: str) -> bytes:
    data = f"{node}\0{key}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Returns `nodes` in order of preference for `key`, best first."""
    return sorted(nodes, key=lambda node: (_weight(node, key), node))


def share(key: str, node: str) -> float:
    """Returns the weight of a node for `key`, from 0 to below 1.

    The node with the lowest weight is the preferred one.
    """
    weight = _weight(node, key)
    return float(int.from_bytes(weight, "big") / 2 ** (8 * len(weight)))


def owner(key: str, nodes: Iterable[str]) -> str:
    """Returns the preferred node for `key`; an empty string without nodes."""
    best = min(nodes, key=lambda node: (_weight(node, key), node), default="")
    return best
