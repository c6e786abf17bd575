"""Forms a new group, which must happen at most once.

The first of `initial_members` forms it, after every other one has confirmed that it is empty. A
member that lost its disk is empty too, but then the others are not: it forms no group and waits to
be added under its new identity.
"""

import asyncio

from crowsill.consensus.core import encode_membership
from crowsill.consensus.membership import Member, Membership
from crowsill.consensus.messages import EntryKind, LogEntry
from crowsill.consensus.types import HardState, Ready
from crowsill.settings import Address, PeerSettings
from crowsill.transport.membership_messages import EmptyCheck, EmptyCheckReply
from crowsill.transport.query import query_once
from crowsill.transport.stream import LocalIdentity

RETRY_INTERVAL_S = 0.2
REPLY_TIMEOUT_S = 2.0


async def check_if_empty(
    peer: PeerSettings | Address, local: LocalIdentity
) -> EmptyCheckReply | None:
    """Query a control member's identity and whether it is empty; None without a response."""
    target = Address(peer.host, peer.port)
    reply = await query_once(target, EmptyCheck(), local, REPLY_TIMEOUT_S)
    return reply if isinstance(reply, EmptyCheckReply) else None


async def agree_on_initial_members(
    peers: list[PeerSettings], local: LocalIdentity
) -> Membership | None:
    """Query the other initial members until all have responded.

    Args:
        peers: All initial members, including this one.
        local: Identity of this member.

    Returns:
        The membership of the new group, or None if a member is not empty, so that a group already
        exists.
    """
    identities: dict[str, str] = {}
    others = [peer for peer in peers if peer.name != local.node]
    while len(identities) < len(others):
        for peer in others:
            if peer.name in identities:
                continue
            reply = await check_if_empty(peer, local)
            if reply is not None and not reply.is_empty:
                return None
            if reply is not None:
                identities[peer.name] = reply.identity
        if len(identities) < len(others):
            await asyncio.sleep(RETRY_INTERVAL_S)
    identities[local.node] = local.identity
    members = [Member(identities[peer.name], peer.name, peer.host, peer.port) for peer in peers]
    return Membership(members)


async def agree_on_seed_members(
    seeds: list[Address], own: Address, local: LocalIdentity
) -> Membership | None:
    """Return the membership of a new group of the seeds, if this member has to form it.

    The seed with the lowest address that may vote forms the group, once every other seed has
    confirmed that it is empty. A machine that lost its disk isn't configured to bootstrap, so this
    happens once.

    Returns:
        The membership of the new group; None if another seed forms it, or a group already exists.
    """
    ordered = sorted(seeds, key=lambda seed: (seed.host, seed.port))
    if own not in ordered:
        return None
    replies = {own: EmptyCheckReply(local.identity, is_empty=True)}
    while len(replies) < len(ordered):
        for seed in ordered:
            if seed in replies:
                continue
            reply = await check_if_empty(seed, local)
            if reply is None:
                continue
            comes_first = ordered.index(seed) < ordered.index(own)
            if not reply.is_empty or (comes_first and reply.may_vote):
                return None
            replies[seed] = reply
        if len(replies) < len(ordered):
            await asyncio.sleep(RETRY_INTERVAL_S)
    voters = [seed for seed in ordered if replies[seed].may_vote]
    return Membership([_seed_member(replies[seed].identity, seed) for seed in voters])


def _seed_member(identity: str, address: Address) -> Member:
    return Member(identity, identity.rpartition(".")[0], address.host, address.port)


def first_state(membership: Membership) -> Ready:
    """Return the initial durable state of a new group: its membership as entry 1."""
    entry = LogEntry(1, 1, EntryKind.MEMBERSHIP, encode_membership(membership))
    return Ready(hard_state=HardState(1, None), entries=[entry])
