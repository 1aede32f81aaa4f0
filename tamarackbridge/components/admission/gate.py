"""Which requests are within their workspace's share of the engines.

Load pattern: workspaces ask for more than the engines do, through few routers
or through all, and what each router knows of the others' use is late. Each
router lets the same part of a workspace's requests through, worked out from
what the whole fleet is asked for, which changes slower than what it has been
served (Raghavan and others, Cloud Control with Distributed Rate Limiting,
SIGCOMM 2007: global random drop). Where a part of what was let through is not
begun, as its callers left or its router had no time for it, more is let
through.
"""

from collections.abc import Mapping
import math
import random

from tamarackbridge.components.admission import shares

GROWTH = 0.25
"""Part by which what is shared out exceeds what was served lately while the
engines are idle."""

RELIEF = 0.5
"""Part by which it falls short of it while the engines have twice the work
wanted, or no room."""


LEAST = 0.25
"""Part of the stated throughput that is always shared out: when all routers
have just started, little is known of what was served."""


def capacity(nominal: float, served: float, spare: float) -> float:
    """Returns the throughput that is shared out.

    Engines do more than is stated where they keep parts of prompts, and less
    where some are lost; so what they did lately counts as soon as they have
    more work than is wanted.

    Args:
        nominal: The stated throughput, in tokens a second.
        served: What was begun lately, in tokens a second.
        spare: How much capacity is to spare, from -1 to 1.
    """
    trusted = min(max(1.0 + spare, LEAST), 1.0)
    base = served + trusted * max(nominal - served, 0.0)
    return base * (1.0 + (GROWTH if spare > 0 else RELIEF) * spare)


LEAST_BEGUN = 0.5
"""Part of what was let through that is always taken for begun. If all of it is
begun again at once, a workspace gets twice its level until that is seen, and
no more."""


class ShareGate:
    """Lets a part of each workspace's requests through.

    Attributes:
        level: The most that one workspace gets, in tokens a second; infinite
            while there is enough for all.
    """

    def __init__(self, rng: random.Random) -> None:
        self.level = math.inf
        self._rng = rng
        self._asked: dict[str, float] = {}
        self._served: dict[str, float] = {}
        self._begun: dict[str, float] = {}
        self._credits: dict[str, float] = {}

    def refresh(
        self,
        use: Mapping[str, shares.Use],
        window_s: float,
        nominal: float,
        spare: float,
    ) -> None:
        """Takes what the whole fleet was asked for and began.

        Args:
            use: The use of workspaces over a window.
            window_s: The window.
            nominal: The stated throughput, in tokens a second; 0 where none
                is stated, and nothing is limited.
            spare: How much capacity is to spare, from -1 to 1.
        """
        named = {name: it for name, it in use.items() if name}
        self._asked = {name: it.asked / window_s for name, it in named.items()}
        self._served = {
            name: it.served / window_s for name, it in named.items()
        }
        self._begun = {name: _begun(it) for name, it in named.items()}
        self.level = math.inf
        if nominal > 0:
            shared = capacity(nominal, sum(self._served.values()), spare)
            wanted = {
                name: (it.asked + it.shed) / window_s
                for name, it in named.items()
            }
            self.level = shares.even_level(wanted, shared)
        for name in self._credits.keys() - named.keys():
            del self._credits[name]

    def served(self, workspace: str) -> float:
        """Returns what was begun for a workspace, in tokens a second."""
        return self._served.get(workspace, 0.0)

    def part(self, workspace: str) -> float:
        """Returns the part of a workspace's requests that is let through."""
        asked = self._asked.get(workspace, 0.0)
        if asked <= self.level:
            return 1.0
        return min(self.level / (asked * self._begun[workspace]), 1.0)

    def admits(self, workspace: str) -> bool:
        """Decides on a request that arrives; each counts the same.

        Counting tokens instead would let short requests pass long ones.
        """
        part = self.part(workspace)
        if part >= 1.0:
            return True
        # Routers begin at different places, so that their errors cancel out.
        credit = self._credits.get(workspace)
        if credit is None:
            credit = self._rng.random()
        credit += part
        admitted = credit >= 1.0
        self._credits[workspace] = credit - 1.0 if admitted else credit
        return admitted


def _begun(use: shares.Use) -> float:
    """Returns the part of what was let through that was begun."""
    if use.admitted <= 0:
        return 1.0
    return min(max(use.served / use.admitted, LEAST_BEGUN), 1.0)
