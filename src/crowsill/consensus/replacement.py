"""The steps of replacing a member, decided from the leader's view alone.

A new machine joins as a learner. Only when it durably holds everything committed does it take the
place of the voter it replaces: that voter leaves first, then the learner is given the vote. Each
step is one membership change, and the next waits until the last is committed.
"""

from dataclasses import dataclass

import msgspec

from crowsill.consensus.membership import Member, Membership
from crowsill.consensus.node import RaftNode


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """How a leader sees its group.

    Attributes:
        behind: Committed entries each other member has not durably got, by id.
        silent_s: Time since each other member's last answer, or since this leadership began if
            that is shorter, by id.
        membership_committed: Whether the newest membership is committed. One that is merely
            proposed may still vanish with its leader, and the older one counts then.
    """

    behind: dict[str, int]
    silent_s: dict[str, float]
    membership_committed: bool


def group_health(node: RaftNode, now_s: float) -> GroupHealth:
    """Summarise what a leading member knows; empty for one that does not lead."""
    leader = node.leader
    progress = {} if leader is None else leader.progress
    started_at_s = float("-inf") if leader is None else leader.started_at_s
    behind = {
        member_id: max(0, node.commit_index - item.match_index)
        for member_id, item in progress.items()
    }
    silent_s = {
        member_id: max(0.0, now_s - max(item.last_response_at_s, started_at_s))
        for member_id, item in progress.items()
    }
    return GroupHealth(behind, silent_s, node.membership_is_committed)


@dataclass(frozen=True, slots=True)
class SelfRepair:
    """How a group keeps its size by itself.

    Attributes:
        target_voters: Voters wanted.
        dead_after_s: A voter silent for so long gives its place to a learner that is ready.
        forget_after_s: A learner silent for so long is forgotten.
    """

    target_voters: int
    dead_after_s: float = 2.0
    forget_after_s: float = 60.0


def next_membership(
    membership: Membership,
    health: GroupHealth,
    alive_within_s: float,
    repair: SelfRepair | None = None,
) -> Membership | None:
    """Return the next membership on the way to the wanted one, or None when there is none now.

    Args:
        membership: The newest membership.
        health: The leader's view.
        alive_within_s: A member that answered within this time counts as there.
        repair: Set for a group that keeps its size by itself. Without it every learner that is
            ready is promoted, as an operator who added it wants.
    """
    if not health.membership_committed:
        return None
    if repair is not None:
        return _next_repair(membership, health, alive_within_s, repair)
    for member in membership.members:
        if member.voter or not _has_caught_up(member, health, alive_within_s):
            continue
        if member.replaces in membership.voters:
            return membership.without_member(member.replaces)
        promoted = msgspec.structs.replace(member, voter=True, replaces="")
        return membership.with_member(promoted)
    return None


def _next_repair(
    membership: Membership, health: GroupHealth, alive_within_s: float, repair: SelfRepair
) -> Membership | None:
    ready = [
        member
        for member in membership.members
        if not member.voter and _has_caught_up(member, health, alive_within_s)
    ]
    # First of all the machine that came back with an empty disk: its former self is gone for good.
    for member in ready:
        if member.replaces in membership.voters:
            return membership.without_member(member.replaces)
    if ready and len(membership.voters) < repair.target_voters:
        promoted = msgspec.structs.replace(ready[0], voter=True, replaces="")
        return membership.with_member(promoted)
    if ready:
        dead = _longest_unresponsive(membership.voters, health, repair.dead_after_s)
        if dead is not None:
            return membership.without_member(dead)
    learners = [member.member_id for member in membership.members if not member.voter]
    forgotten = _longest_unresponsive(learners, health, repair.forget_after_s)
    return None if forgotten is None else membership.without_member(forgotten)


def _longest_unresponsive(
    member_ids: list[str], health: GroupHealth, beyond_s: float
) -> str | None:
    silent = [item for item in member_ids if health.silent_s.get(item, 0.0) > beyond_s]
    return max(silent, key=lambda item: health.silent_s[item], default=None)


def _has_caught_up(member: Member, health: GroupHealth, alive_within_s: float) -> bool:
    behind = health.behind.get(member.member_id, 1)
    silent_s = health.silent_s.get(member.member_id, float("inf"))
    return behind == 0 and silent_s <= alive_within_s


def is_fully_replicated(
    membership: Membership, leader_id: str, health: GroupHealth, alive_within_s: float
) -> bool:
    """Whether all members vote, are there, and durably hold everything committed."""
    if not health.membership_committed:
        return False
    for member in membership.members:
        if member.member_id == leader_id:
            continue
        if not member.voter or not _has_caught_up(member, health, alive_within_s):
            return False
    return True


def describe_risk(
    membership: Membership, leader_id: str, health: GroupHealth, alive_within_s: float
) -> str:
    """Say what the loss of further voters would mean.

    Returns:
        One sentence for operators.
    """
    if not health.membership_committed:
        return "a change of the members is under way: until it is committed, lose nothing"
    sound = [
        voter
        for voter in membership.voters
        if voter == leader_id
        or (health.behind.get(voter, 1) == 0 and health.silent_s.get(voter, 1e9) <= alive_within_s)
    ]
    spare = len(sound) - membership.quorum
    if spare < 0:
        return "fewer voters than a majority are sound: nothing new can be committed"
    if spare == 0:
        return "the loss of one more sound voter stops commits, and of its disk may lose data"
    return f"{spare} more voter(s) may be lost without any harm"
