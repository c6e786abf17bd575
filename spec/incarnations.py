"""A replica restarts under its name while its heartbeats are in transit.

Heartbeats arrive in any order, once or twice, and an incarnation that is gone may be removed.
crowsill's own directory records them. Broken variant: a replica is identified by its name alone, so
that its heartbeats are ordered by their count. A restarted replica counts from the beginning, and
its heartbeats are ignored.
"""

import msgspec
from minicheck import Protocol

from crowsill.model.instances import Instance, ReplicaHeartbeat, instance_id_of
from crowsill.state.directory import Directory, DirectorySnapshot

LAST_INCARNATION = 3
LAST_COUNT = 2
NAME = "i"

State = tuple[object, ...]
# A heartbeat: the incarnation that sent it, and its count within the incarnation.
SentHeartbeat = tuple[int, int]


class IncarnationsState(msgspec.Struct, frozen=True):
    """One state of the model.

    Attributes:
        incarnation: The current incarnation of the replica.
        count: Number of heartbeats that it has sent.
        in_transit: Heartbeats that may still arrive.
        directory: The encoded directory.
        highest_received: The latest incarnation with a received heartbeat; 0 before.
        highest_known: The latest incarnation that the directory has contained; 0 before.
        removed: Lives that were removed.
    """

    incarnation: int = 1
    count: int = 0
    in_transit: frozenset[SentHeartbeat] = frozenset()
    directory: bytes = msgspec.msgpack.encode(DirectorySnapshot())
    highest_received: int = 0
    highest_known: int = 0
    removed: frozenset[int] = frozenset()


def _directory(state: IncarnationsState) -> Directory:
    found = Directory()
    found.load(msgspec.msgpack.decode(state.directory, type=DirectorySnapshot))
    return found


def _encoded(directory: Directory) -> bytes:
    # The version increases without limit; without it the state space is finite.
    return msgspec.msgpack.encode(msgspec.structs.replace(directory.dump(), version=0))


def _heartbeat(sent: SentHeartbeat, by_name: bool) -> ReplicaHeartbeat:
    incarnation, count = sent
    started = None if by_name else incarnation
    # The port identifies the incarnation in both variants.
    instance = Instance(
        instance_id_of(NAME, started),
        "s",
        f"10.0.0.1:{incarnation}",
        "z",
        1,
        replica=NAME,
        started_ms=started or 0,
    )
    return ReplicaHeartbeat(instance, count)


def _known_incarnation(directory: Directory) -> int:
    """Return the incarnation in the directory; 0 if there is none."""
    incarnations = [int(item.address.rpartition(":")[2]) for item in directory.instances]
    return max(incarnations, default=0)


def _receive(state: IncarnationsState, sent: SentHeartbeat, by_name: bool) -> IncarnationsState:
    directory = _directory(state)
    directory.record(_heartbeat(sent, by_name))
    return msgspec.structs.replace(
        state,
        directory=_encoded(directory),
        highest_received=max(state.highest_received, sent[0]),
        highest_known=max(state.highest_known, _known_incarnation(directory)),
    )


def _steps(state: IncarnationsState, by_name: bool) -> list[tuple[str, IncarnationsState]]:
    change = msgspec.structs.replace
    steps: list[tuple[str, IncarnationsState]] = []
    if state.count < LAST_COUNT:
        sent = (state.incarnation, state.count + 1)
        in_transit = state.in_transit | {sent}
        steps.append(("a heartbeat is sent", change(state, count=sent[1], in_transit=in_transit)))
    if state.incarnation < LAST_INCARNATION:
        steps.append(
            ("the replica restarts", change(state, incarnation=state.incarnation + 1, count=0))
        )
    for sent in state.in_transit:
        arrived = _receive(state, sent, by_name)
        steps.append((f"{sent} arrives and may arrive again", arrived))
        steps.append((f"{sent} arrives", change(arrived, in_transit=state.in_transit - {sent})))
    directory = _directory(state)
    known = _known_incarnation(directory)
    if 0 < known < state.incarnation:
        directory.remove(directory.instances[0].instance_id)
        gone = change(state, directory=_encoded(directory), removed=state.removed | {known})
        steps.append(("an incarnation that is gone is removed", gone))
    return steps


def _latest_is_known(found: dict[str, object]) -> bool:
    state = IncarnationsState(**found)  # type: ignore[arg-type]
    return (
        state.highest_received in state.removed
        or _known_incarnation(_directory(state)) == state.highest_received
    )


def _no_step_back(found: dict[str, object]) -> bool:
    state = IncarnationsState(**found)  # type: ignore[arg-type]
    return _known_incarnation(_directory(state)) in (0, state.highest_known)


def protocol(by_name: bool = False) -> Protocol:
    """Return the model.

    Args:
        by_name: Broken variant: a replica is identified by its name, regardless of incarnation.
    """

    def transitions(key: State) -> list[tuple[str, State]]:
        state = IncarnationsState(*key)  # type: ignore[arg-type]
        return [(label, msgspec.structs.astuple(new)) for label, new in _steps(state, by_name)]

    return Protocol(
        name="lives",
        candidate=False,
        fields=IncarnationsState.__struct_fields__,
        initial=msgspec.structs.astuple(IncarnationsState()),
        transitions=transitions,
        invariants={
            "the newest life that was heard is known": _latest_is_known,
            "no step back to an earlier life": _no_step_back,
        },
    )
