"""Builds the deciders of one router, for a process or a virtual clock."""

import dataclasses
import random

from tamarackbridge import core
from tamarackbridge.components.claims import client as claim_client
from tamarackbridge.components.claims import keeper
from tamarackbridge.components.configuration import applier, changes
from tamarackbridge.components.dispatch import dispatcher, permit_client
from tamarackbridge.components.membership import leases, member
from tamarackbridge.components.operator import (
    config_writer,
    request_view,
    status_view,
)
from tamarackbridge.components.records import references, snapshot
from tamarackbridge.components.settings import models


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The deciders of one router, in the order in which they get messages."""

    member: member.MemberDecider
    leases: leases.ShardLeases
    applier: applier.Applier
    changes: changes.ChangeWriter
    dispatcher: dispatcher.Dispatcher
    permits: permit_client.PermitClient
    keeper: keeper.Keeper
    claims: claim_client.ClaimClient
    status: status_view.StatusView
    requests: request_view.RequestView
    reports: config_writer.ChangeReportReceiver

    def deciders(self) -> tuple[core.Decider, ...]:
        """Returns the deciders in the order of the fields."""
        fields = dataclasses.fields(self)
        return tuple(getattr(self, field.name) for field in fields)


def build(
    cfg: models.Settings,
    incarnation: int,
    clock: core.Clock,
    rng: random.Random,
) -> Policy:
    """Builds the deciders of one router.

    Args:
        cfg: Settings of the router.
        incarnation: Number that increases with each start of the router.
        clock: Clock of the operators' views.
        rng: Random number generator of all deciders.
    """
    node = cfg.node
    dispatching = dispatcher.Dispatcher(node, rng)
    joining = member.MemberDecider(
        node, cfg.zone, cfg.advertise, incarnation, rng
    )
    codec = snapshot.SnapshotCodec()
    applied = applier.Applier(node, rng, codec)

    def confirms(other: str) -> bool:
        return joining.known_by(other) >= applied.version

    return Policy(
        member=joining,
        leases=leases.ShardLeases(node, rng),
        applier=applied,
        changes=changes.ChangeWriter(node, rng, references.CheckedCodec(codec)),
        dispatcher=dispatching,
        permits=permit_client.PermitClient(node, rng),
        keeper=keeper.Keeper(
            node,
            rng,
            cfg.claims.retention_s,
            cfg.claims.max_outcome_bytes,
        ),
        claims=claim_client.ClaimClient(node, rng, incarnation),
        status=status_view.StatusView(
            node, cfg.zone, clock, dispatching, confirms
        ),
        requests=request_view.RequestView(node, clock),
        reports=config_writer.ChangeReportReceiver(),
    )
