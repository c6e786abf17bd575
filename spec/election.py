"""Election and commit among three members that crash, with lost or delayed messages.

The model is bounded: the terms of `RIVALS`, one entry per leader. Logs are compared by crowsill's
`RaftLog.is_up_to_date`. The broken variants lose the vote at a crash, or vote for any log.
"""

import msgspec
from minicheck import Protocol

from crowsill.consensus.log import RaftLog
from crowsill.consensus.messages import EntryKind, LogEntry

MEMBERS = (0, 1, 2)
QUORUM = 2
FOLLOWER, CANDIDATE, LEADER = range(3)
# Members that may campaign for each term.
RIVALS = {1: (0, 1), 2: (0, 1, 2), 3: (0, 1, 2)}

State = tuple[object, ...]


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """One member.

    Attributes:
        term: Durable term.
        voted_for: Durable vote in that term; -1 for none.
        log: Terms of the durable entries.
        role: Follower, candidate or leader; volatile.
    """

    term: int
    voted_for: int
    log: tuple[int, ...]
    role: int


class GroupState(msgspec.Struct, frozen=True):
    """One state of the model.

    Attributes:
        members: The encoded members.
        leaders: All leaders so far, as (term, member).
        committed: Committed logs, each with the term of the commit.
    """

    members: tuple[tuple[int, int, tuple[int, ...], int], ...]
    leaders: frozenset[tuple[int, int]]
    committed: frozenset[tuple[int, tuple[int, ...]]]


def _member(state: GroupState, index: int) -> MemberState:
    return MemberState(*state.members[index])


def _with(state: GroupState, index: int, member: MemberState) -> GroupState:
    encoded = msgspec.structs.astuple(member)
    members = (*state.members[:index], encoded, *state.members[index + 1 :])
    return msgspec.structs.replace(state, members=members)


def _raft_log(terms: tuple[int, ...]) -> RaftLog:
    log = RaftLog()
    for index, term in enumerate(terms, start=1):
        log.append(LogEntry(index, term, EntryKind.COMMAND, b""))
    return log


def _campaign(state: GroupState, index: int) -> GroupState | None:
    member = _member(state, index)
    term = member.term + 1
    if member.role == LEADER or index not in RIVALS.get(term, ()):
        return None
    return _with(state, index, MemberState(term, index, member.log, CANDIDATE))


def _vote(state: GroupState, voter: int, candidate: int, any_log: bool) -> GroupState | None:
    asked, member = _member(state, candidate), _member(state, voter)
    if asked.role != CANDIDATE or asked.term < member.term:
        return None
    may_vote = asked.term > member.term or member.voted_for in (-1, candidate)
    last_term = asked.log[-1] if asked.log else 0
    up_to_date = _raft_log(member.log).is_up_to_date(len(asked.log), last_term)
    if not may_vote or not (up_to_date or any_log):
        return None
    return _with(state, voter, MemberState(asked.term, candidate, member.log, FOLLOWER))


def _win(state: GroupState, index: int) -> GroupState:
    """Lead with two votes; a delayed response is equivalent to a leader that acts later."""
    member = _member(state, index)
    log = (*member.log, member.term)
    new = _with(state, index, MemberState(member.term, index, log, LEADER))
    return msgspec.structs.replace(new, leaders=new.leaders | {(member.term, index)})


def _replicate(state: GroupState, leader: int, follower: int) -> GroupState | None:
    source, target = _member(state, leader), _member(state, follower)
    if source.role != LEADER or target.term > source.term or target.log == source.log:
        return None
    voted_for = target.voted_for if target.term == source.term else -1
    return _with(state, follower, MemberState(source.term, voted_for, source.log, FOLLOWER))


def _commit(state: GroupState, index: int) -> GroupState | None:
    member = _member(state, index)
    if member.role != LEADER or member.log[-1] != member.term:
        return None
    holders = [
        other
        for other in MEMBERS
        if _member(state, other).log == member.log and _member(state, other).term == member.term
    ]
    if len(holders) < QUORUM:
        return None
    committed = state.committed | {(member.term, member.log)}
    return msgspec.structs.replace(state, committed=committed)


def _crash(state: GroupState, index: int, loses_vote: bool) -> GroupState:
    member = _member(state, index)
    voted_for = -1 if loses_vote else member.voted_for
    return _with(state, index, MemberState(member.term, voted_for, member.log, FOLLOWER))


def _steps(
    state: GroupState, loses_vote: bool, any_log: bool
) -> list[tuple[str, GroupState | None]]:
    steps: list[tuple[str, GroupState | None]] = []
    for index in MEMBERS:
        steps.append((f"campaign {index}", _campaign(state, index)))
        steps.append((f"commit {index}", _commit(state, index)))
        steps.append((f"crash {index}", _crash(state, index, loses_vote)))
        for other in MEMBERS:
            if other != index:
                voted = _vote(state, other, index, any_log)
                steps.append((f"{other} votes for {index}, response lost", voted))
                won = None if voted is None else _win(voted, index)
                steps.append((f"{other} votes for {index}", won))
                steps.append((f"{index} replicates to {other}", _replicate(state, index, other)))
    return steps


def _one_leader_per_term(state: dict[str, frozenset[tuple[int, int]]]) -> bool:
    terms = [term for term, _ in state["leaders"]]
    return len(terms) == len(set(terms))


def _leaders_hold_committed(found: dict[str, object]) -> bool:
    state = GroupState(**found)  # type: ignore[arg-type]
    for term, log in state.committed:
        for index in MEMBERS:
            member = _member(state, index)
            has_committed = member.log[: len(log)] == log
            if member.role == LEADER and member.term > term and not has_committed:
                return False
    return True


def protocol(loses_vote: bool = False, any_log: bool = False) -> Protocol:
    """Return the model.

    Args:
        loses_vote: Broken variant: the vote is not durable before it is granted.
        any_log: Broken variant: candidates with outdated logs get votes.
    """

    def transitions(key: State) -> list[tuple[str, State]]:
        state = GroupState(*key)  # type: ignore[arg-type]
        found = _steps(state, loses_vote, any_log)
        return [(label, msgspec.structs.astuple(new)) for label, new in found if new is not None]

    initial_member = (0, -1, (), FOLLOWER)
    initial = GroupState((initial_member, initial_member, initial_member), frozenset(), frozenset())
    return Protocol(
        name="election",
        candidate=False,
        fields=GroupState.__struct_fields__,
        initial=msgspec.structs.astuple(initial),
        transitions=transitions,
        invariants={
            "one leader a term": _one_leader_per_term,
            "later leaders hold what is committed": _leaders_hold_committed,
        },
    )
