"""Message types between routers that run the product's own interface."""

from tamarackbridge import core, messages
from tamarackbridge.components.claims import messages as claims
from tamarackbridge.components.configuration import messages as configuration
from tamarackbridge.components.dispatch import messages as dispatch
from tamarackbridge.components.membership import messages as membership

PEER_MESSAGES: tuple[type[core.Message], ...] = (
    dispatch.Ask,
    dispatch.Withdraw,
    dispatch.Grant,
    dispatch.Refuse,
    dispatch.Progress,
    dispatch.Finish,
    dispatch.ResyncAsk,
    dispatch.ResyncReport,
    dispatch.HandOver,
    dispatch.Move,
    dispatch.ShardTotals,
    claims.ClaimAsk,
    claims.ClaimReply,
    claims.ClaimSettle,
    claims.ClaimSettled,
    configuration.DataAsk,
    configuration.DataReply,
    membership.Heartbeat,
    membership.StateAsk,
    membership.StateReply,
)
"""Types of the messages that one router may send to another."""

DECODER = messages.Decoder(PEER_MESSAGES)
