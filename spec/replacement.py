"""A member loses its disk and is replaced, and another member may fail right after.

Three members have one committed entry on a majority. One member's disk is lost. The member may
return only under a new identity, as a learner without a vote, and is promoted when it has the log.
"""

import msgspec
from minicheck import Protocol

MEMBERS = (0, 1, 2)

State = tuple[object, ...]


class ReplacementState(msgspec.Struct, frozen=True):
    """One state of the model.

    Attributes:
        has_entry: Whether each member's disk has the committed entry.
        votes: Whether each member is a voter under its current identity.
        up: Whether each member runs.
        lost: Number of disks lost so far.
        reported_full: Whether the operator got the report that the group is full again.
        lost_after_report: Whether a second disk was lost after that report.
        elected_without_entry: Whether a leader without the entry could be elected.
    """

    has_entry: tuple[bool, ...]
    votes: tuple[bool, ...]
    up: tuple[bool, ...]
    lost: int
    reported_full: bool
    lost_after_report: bool
    elected_without_entry: bool


def _set(values: tuple[bool, ...], index: int, value: bool) -> tuple[bool, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _lose_disk(state: ReplacementState, index: int, same_identity: bool) -> ReplacementState:
    """Lose a disk; the group survives a second loss only after it is full again."""
    return msgspec.structs.replace(
        state,
        has_entry=_set(state.has_entry, index, False),
        votes=_set(state.votes, index, same_identity),
        lost=state.lost + 1,
        lost_after_report=state.reported_full,
        reported_full=False,
    )


def _can_elect(state: ReplacementState, index: int) -> bool:
    """Return whether a member without the entry can get a majority of the three voters."""
    if not (state.up[index] and state.votes[index]) or state.has_entry[index]:
        return False
    willing = [
        other
        for other in MEMBERS
        if state.up[other] and state.votes[other] and not state.has_entry[other]
    ]
    return len(willing) >= 2


def _steps(
    state: ReplacementState, same_identity: bool, promotes_early: bool
) -> list[tuple[str, ReplacementState]]:
    steps: list[tuple[str, ReplacementState]] = []
    voters_with_entry = [
        index
        for index in MEMBERS
        if state.up[index] and state.votes[index] and state.has_entry[index]
    ]
    for index in MEMBERS:
        may_lose = state.lost == 0 or (state.lost == 1 and state.reported_full)
        if may_lose:
            steps.append((f"lose disk {index}", _lose_disk(state, index, same_identity)))
        up = _set(state.up, index, not state.up[index])
        steps.append((f"toggle {index}", msgspec.structs.replace(state, up=up)))
        if voters_with_entry and state.up[index] and not state.has_entry[index]:
            has_entry = _set(state.has_entry, index, True)
            steps.append((f"catch up {index}", msgspec.structs.replace(state, has_entry=has_entry)))
        # Promotion is a membership change: it needs a majority of voters that are up, and a leader
        # with the entry.
        voters_up = [other for other in MEMBERS if state.up[other] and state.votes[other]]
        ready = state.has_entry[index] or promotes_early
        if not state.votes[index] and ready and voters_with_entry and len(voters_up) >= 2:
            votes = _set(state.votes, index, True)
            steps.append((f"promote {index}", msgspec.structs.replace(state, votes=votes)))
        if _can_elect(state, index):
            steps.append(
                (f"elect {index}", msgspec.structs.replace(state, elected_without_entry=True))
            )
    is_full = all(state.votes) and all(state.has_entry)
    if state.lost and is_full:
        steps.append(("report full", msgspec.structs.replace(state, reported_full=True)))
    return steps


def protocol(same_identity: bool = False, promotes_early: bool = False) -> Protocol:
    """Return the model.

    Args:
        same_identity: Broken variant: a member with an empty disk votes under its old identity.
        promotes_early: Broken variant: a learner becomes a voter before it has the log.
    """

    def transitions(key: State) -> list[tuple[str, State]]:
        state = ReplacementState(*key)  # type: ignore[arg-type]
        found = _steps(state, same_identity, promotes_early)
        return [(label, msgspec.structs.astuple(new)) for label, new in found]

    initial = ReplacementState(
        has_entry=(True, True, False),
        votes=(True, True, True),
        up=(True, True, True),
        lost=0,
        reported_full=False,
        lost_after_report=False,
        elected_without_entry=False,
    )
    return Protocol(
        name="replacement",
        candidate=False,
        fields=ReplacementState.__struct_fields__,
        initial=msgspec.structs.astuple(initial),
        transitions=transitions,
        invariants={
            "no leader lacks a committed entry": lambda state: not state["elected_without_entry"]
        },
    )
