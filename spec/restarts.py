"""Leases and elections among three members that restart.

A heartbeat acknowledged by a majority gives the leader a lease. A restarted member may have
acknowledged one just before, so it rejects votes for the duration of a lease. If every voter has
restarted, the leader's process and its lease have ended, and the voters elect at once. In the
broken variant a majority of restarted voters elects at once.
"""

from typing import TypeVar

import msgspec
from minicheck import Protocol

MEMBERS = (0, 1, 2)
QUORUM = 2
LEASE_TICKS = 2
LAST_TICK = 4
LAST_TERM = 3
NEVER = -1

Value = TypeVar("Value")

State = tuple[object, ...]


class GroupState(msgspec.Struct, frozen=True):
    """One state of the model.

    Attributes:
        now: Current time.
        terms: Durable term of each member.
        rejects_votes_until: Time until which each member rejects vote requests.
        no_leader_since_start: Whether each member has neither led nor had leader contact since it
            started.
        leads: Whether each member believes that it leads.
        lease_until: Time until which each member's lease is valid; -1 without a lease.
    """

    now: int = 0
    terms: tuple[int, ...] = (0, 0, 0)
    rejects_votes_until: tuple[int, ...] = (0, 0, 0)
    no_leader_since_start: tuple[bool, ...] = (False, False, False)
    leads: tuple[bool, ...] = (False, False, False)
    lease_until: tuple[int, ...] = (NEVER, NEVER, NEVER)


def _replaced(values: tuple[Value, ...], index: int, value: Value) -> tuple[Value, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _restart(state: GroupState, index: int) -> GroupState:
    return GroupState(
        state.now,
        state.terms,
        _replaced(state.rejects_votes_until, index, state.now + LEASE_TICKS),
        _replaced(state.no_leader_since_start, index, True),
        _replaced(state.leads, index, False),
        _replaced(state.lease_until, index, NEVER),
    )


def _heartbeat(state: GroupState, leader: int, follower: int) -> GroupState | None:
    """A follower acknowledges a heartbeat at once, and forms a majority with the leader."""
    if not state.leads[leader] or state.terms[follower] > state.terms[leader]:
        return None
    until = state.now + LEASE_TICKS
    return GroupState(
        state.now,
        _replaced(state.terms, follower, state.terms[leader]),
        _replaced(_replaced(state.rejects_votes_until, leader, until), follower, until),
        _replaced(_replaced(state.no_leader_since_start, leader, False), follower, False),
        _replaced(state.leads, follower, False),
        _replaced(state.lease_until, leader, until),
    )


def _elect(state: GroupState, index: int, voters: tuple[int, ...]) -> GroupState | None:
    """Make a member the leader by these votes; none of the voters leads any longer."""
    term = state.terms[index] + 1
    if term > LAST_TERM or any(state.terms[voter] >= term for voter in voters):
        return None
    members = range(len(state.terms))
    return GroupState(
        state.now,
        tuple(term if member in voters else state.terms[member] for member in members),
        state.rejects_votes_until,
        _replaced(state.no_leader_since_start, index, False),
        tuple(
            member == index or (state.leads[member] and member not in voters) for member in members
        ),
        tuple(NEVER if member in voters else state.lease_until[member] for member in members),
    )


def _elections(state: GroupState, majority_suffices: bool) -> list[tuple[str, GroupState | None]]:
    found: list[tuple[str, GroupState | None]] = []
    for index in MEMBERS:
        willing = tuple(item for item in MEMBERS if state.rejects_votes_until[item] <= state.now)
        if index in willing and len(willing) >= QUORUM:
            found.append((f"{index} is elected", _elect(state, index, willing)))
        no_leader_since_start = tuple(item for item in MEMBERS if state.no_leader_since_start[item])
        needed = QUORUM if majority_suffices else len(MEMBERS)
        if index in no_leader_since_start and len(no_leader_since_start) >= needed:
            found.append(
                (
                    f"{index} is elected by restarted voters",
                    _elect(state, index, no_leader_since_start),
                )
            )
    return found


def _one_lease(found: dict[str, object]) -> bool:
    state = GroupState(**found)  # type: ignore[arg-type]
    holders = [
        index for index in MEMBERS if state.leads[index] and state.lease_until[index] > state.now
    ]
    return len(holders) <= 1


def protocol(majority_suffices: bool = False) -> Protocol:
    """Return the model.

    Args:
        majority_suffices: Broken variant: a majority of restarted voters elects at once.
    """

    def transitions(key: State) -> list[tuple[str, State]]:
        state = GroupState(*key)  # type: ignore[arg-type]
        steps: list[tuple[str, GroupState | None]] = list(_elections(state, majority_suffices))
        if state.now < LAST_TICK:
            steps.append(("a tick passes", msgspec.structs.replace(state, now=state.now + 1)))
        for index in MEMBERS:
            steps.append((f"{index} restarts", _restart(state, index)))
            for other in MEMBERS:
                if other != index:
                    steps.append(
                        (f"{index} sends a heartbeat to {other}", _heartbeat(state, index, other))
                    )
        return [(label, msgspec.structs.astuple(new)) for label, new in steps if new is not None]

    return Protocol(
        name="restarts",
        candidate=False,
        fields=GroupState.__struct_fields__,
        initial=msgspec.structs.astuple(GroupState()),
        transitions=transitions,
        invariants={"at most one lease": _one_lease},
    )
