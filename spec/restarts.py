"""Leases and elections among three members that restart.

A heartbeat that a majority has answered gives its leader a lease. A member that restarts may have
answered one just before, so it gives no vote for as long as a lease lasts. Where every voter has
restarted since, the leader's process has ended and its lease with it: they elect at once.
The broken variant lets a majority of restarted voters do so.
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
        now: The clock.
        terms: Term of each member, durable.
        refuses_until: Clock until which each member gives no vote.
        anew: Whether each member has neither led nor heard a leader since it started.
        leads: Whether each member believes that it leads.
        lease_until: Clock until which each member's lease holds; -1 without one.
    """

    now: int = 0
    terms: tuple[int, ...] = (0, 0, 0)
    refuses_until: tuple[int, ...] = (0, 0, 0)
    anew: tuple[bool, ...] = (False, False, False)
    leads: tuple[bool, ...] = (False, False, False)
    lease_until: tuple[int, ...] = (NEVER, NEVER, NEVER)


def _put(values: tuple[Value, ...], index: int, value: Value) -> tuple[Value, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _restart(state: GroupState, index: int) -> GroupState:
    return GroupState(
        state.now,
        state.terms,
        _put(state.refuses_until, index, state.now + LEASE_TICKS),
        _put(state.anew, index, True),
        _put(state.leads, index, False),
        _put(state.lease_until, index, NEVER),
    )


def _heartbeat(state: GroupState, leader: int, follower: int) -> GroupState | None:
    """A follower answers a heartbeat at once: with the leader it is a majority."""
    if not state.leads[leader] or state.terms[follower] > state.terms[leader]:
        return None
    until = state.now + LEASE_TICKS
    return GroupState(
        state.now,
        _put(state.terms, follower, state.terms[leader]),
        _put(_put(state.refuses_until, leader, until), follower, until),
        _put(_put(state.anew, leader, False), follower, False),
        _put(state.leads, follower, False),
        _put(state.lease_until, leader, until),
    )


def _elect(state: GroupState, index: int, voters: tuple[int, ...]) -> GroupState | None:
    """A member becomes the leader by these votes; none of the voters leads any more."""
    term = state.terms[index] + 1
    if term > LAST_TERM or any(state.terms[voter] >= term for voter in voters):
        return None
    members = range(len(state.terms))
    return GroupState(
        state.now,
        tuple(term if member in voters else state.terms[member] for member in members),
        state.refuses_until,
        _put(state.anew, index, False),
        tuple(
            member == index or (state.leads[member] and member not in voters) for member in members
        ),
        tuple(NEVER if member in voters else state.lease_until[member] for member in members),
    )


def _elections(state: GroupState, majority_suffices: bool) -> list[tuple[str, GroupState | None]]:
    found: list[tuple[str, GroupState | None]] = []
    for index in MEMBERS:
        willing = tuple(item for item in MEMBERS if state.refuses_until[item] <= state.now)
        if index in willing and len(willing) >= QUORUM:
            found.append((f"{index} is elected", _elect(state, index, willing)))
        anew = tuple(item for item in MEMBERS if state.anew[item])
        needed = QUORUM if majority_suffices else len(MEMBERS)
        if index in anew and len(anew) >= needed:
            found.append((f"{index} is elected by restarted voters", _elect(state, index, anew)))
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
                    steps.append((f"{index} is heard by {other}", _heartbeat(state, index, other)))
        return [(label, msgspec.structs.astuple(new)) for label, new in steps if new is not None]

    return Protocol(
        name="restarts",
        candidate=False,
        fields=GroupState.__struct_fields__,
        initial=msgspec.structs.astuple(GroupState()),
        transitions=transitions,
        invariants={"at most one lease": _one_lease},
    )
