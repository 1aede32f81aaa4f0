"""Permits on their way from one dispatcher of a shard to the next."""

from collections.abc import Mapping

from tamarackbridge.components.dispatch import messages, permits


def message(
    shard: str,
    epoch: int,
    table: permits.PermitTable,
    counters: Mapping[str, float],
    now: float,
) -> messages.HandOver:
    """Returns all that the dispatcher of `epoch` must know."""
    handed = tuple(
        messages.HandedPermit(
            epoch=permit.epoch,
            number=permit.number,
            request_id=permit.request_id,
            workspace=permit.workspace,
            server=permit.server,
            entry=permit.entry,
            used=permit.charged,
            life_left_s=permit.ends_at - now,
            granted_ago_s=now - permit.granted_at,
            heard_ago_s=now - permit.heard_at,
        )
        for permit in table
    )
    known = tuple(
        messages.WorkspaceCounter(name, value)
        for name, value in sorted(counters.items())
    )
    return messages.HandOver(shard, epoch, handed, known)


def of_dispatcher(
    item: messages.HandedPermit,
    share: float,
    granted_at: float,
    sent_from: float,
    now: float,
) -> permits.Permit:
    """Returns a permit that the dispatcher before handed on.

    Args:
        item: What it told.
        share: The workspace's share now.
        granted_at: The latest that it can have been issued.
        sent_from: The earliest that the message can have been sent.
        now: Monotonic time in seconds.
    """
    return permits.Permit(
        epoch=item.epoch,
        number=item.number,
        request_id=item.request_id,
        workspace=item.workspace,
        end_user="",
        route="",
        server=item.server,
        entry=item.entry,
        share=share,
        hint=0.0,
        charged=item.used,
        granted_at=granted_at,
        heard_at=sent_from - item.heard_ago_s,
        ends_at=now + item.life_left_s,
    )


def of_entry(
    src: str,
    item: messages.HeldPermit,
    share: float,
    granted_at: float,
    sent_from: float,
    now: float,
) -> permits.Permit:
    """Returns a permit that its entry named; arguments as above."""
    return permits.Permit(
        epoch=item.epoch,
        number=item.number,
        request_id=item.request_id,
        workspace=item.workspace,
        end_user="",
        route="",
        server=item.server,
        entry=src,
        share=share,
        hint=0.0,
        charged=item.used,
        granted_at=granted_at,
        heard_at=sent_from,
        ends_at=now + item.life_left_s,
    )
