"""Replacement of members, decided from the leader's replication state alone.

A new machine joins as a learner. When all committed entries are durable on it, the voter that it
replaces is removed, and then the learner becomes a voter. Each step is one membership change, and
the next step waits until the previous one is committed.
"""

from dataclasses import dataclass

import msgspec

from crowsill.consensus.membership import Member, Membership
from crowsill.consensus.node import RaftNode


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """The state of a group as its leader knows it.

    Attributes:
        behind: Number of committed entries that are not durable on each other member, by id.
        silent_s: Time since the last response of each other member, by id; at most the time since
            this leadership began.
        membership_committed: Whether the newest membership is committed. An uncommitted membership
            may be lost with its leader, and then the older one remains in effect.
    """

    behind: dict[str, int]
    silent_s: dict[str, float]
    membership_committed: bool


def group_health(node: RaftNode, now_s: float) -> GroupHealth:
    """Return the state of the group as a leader knows it; empty if the member does not lead."""
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
    """Settings of a group that restores its size automatically.

    Attributes:
        target_voters: Target number of voters.
        replace_voter_after_s: Time without a response after which a learner that has caught up
            replaces a voter.
        remove_learner_after_s: Time without a response after which a learner is removed.
    """

    target_voters: int
    replace_voter_after_s: float = 2.0
    remove_learner_after_s: float = 60.0


def next_membership(
    membership: Membership,
    health: GroupHealth,
    alive_within_s: float,
    repair: SelfRepair | None = None,
) -> Membership | None:
    """Return the next membership towards the target, or None if no step is possible now.

    Args:
        membership: The newest membership.
        health: State of the group as the leader knows it.
        alive_within_s: A member that responded within this time counts as available.
        repair: Set for a group that restores its size automatically. Without it every learner
            that has caught up is promoted, because an operator added it.
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
    # A machine that returned with an empty disk goes first: its former identity is permanently
    # gone.
    for member in ready:
        if member.replaces in membership.voters:
            return membership.without_member(member.replaces)
    if ready and len(membership.voters) < repair.target_voters:
        promoted = msgspec.structs.replace(ready[0], voter=True, replaces="")
        return membership.with_member(promoted)
    if ready:
        unresponsive_voter = _longest_unresponsive(
            membership.voters, health, repair.replace_voter_after_s
        )
        if unresponsive_voter is not None:
            return membership.without_member(unresponsive_voter)
    learners = [member.member_id for member in membership.members if not member.voter]
    unresponsive_learner = _longest_unresponsive(learners, health, repair.remove_learner_after_s)
    return None if unresponsive_learner is None else membership.without_member(unresponsive_learner)


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
    """Return whether all members vote, are available, and have all committed entries durably."""
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
    """Describe the effect of losing further voters.

    Returns:
        One sentence for operators.
    """
    if not health.membership_committed:
        return "a membership change is not committed yet; until then no member may be lost"
    healthy = [
        voter
        for voter in membership.voters
        if voter == leader_id
        or (health.behind.get(voter, 1) == 0 and health.silent_s.get(voter, 1e9) <= alive_within_s)
    ]
    spare = len(healthy) - membership.quorum
    if spare < 0:
        return "fewer voters than a majority are healthy: no new entries can be committed"
    if spare == 0:
        return "losing one more healthy voter stops commits, and losing its disk may lose data"
    return f"{spare} more voter(s) can be lost without a loss of service or data"
