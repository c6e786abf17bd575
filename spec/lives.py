"""A replica starts again under its name while its heartbeats are under way.

Heartbeats arrive in any order, once or twice; a life that has ended may be removed. They are taken
in by the product's own directory. Broken variant: a replica is known by its name alone, so that its
heartbeats are ordered by their count; whoever starts again counts anew and is passed over.
"""

import msgspec
from minicheck import Protocol

from crowsill.model.instances import Instance, ReplicaHeartbeat, instance_id_of
from crowsill.state.directory import Directory, DirectorySnapshot

LAST_LIFE = 3
LAST_COUNT = 2
NAME = "i"

State = tuple[object, ...]
# A heartbeat: the life that sent it, and its count within that.
Sent = tuple[int, int]


class LivesState(msgspec.Struct, frozen=True):
    """One state of the model.

    Attributes:
        life: The present life of the replica.
        count: Heartbeats that it has sent.
        under_way: Heartbeats that may still arrive.
        directory: What is known, encoded.
        heard: The latest life of which a heartbeat arrived; 0 before.
        named: The latest life that the directory has named; 0 before.
        removed: Lives that were removed.
    """

    life: int = 1
    count: int = 0
    under_way: frozenset[Sent] = frozenset()
    directory: bytes = msgspec.msgpack.encode(DirectorySnapshot())
    heard: int = 0
    named: int = 0
    removed: frozenset[int] = frozenset()


def _directory(state: LivesState) -> Directory:
    found = Directory()
    found.load(msgspec.msgpack.decode(state.directory, type=DirectorySnapshot))
    return found


def _encoded(directory: Directory) -> bytes:
    # The version only ever rises: without it the space is finite.
    return msgspec.msgpack.encode(msgspec.structs.replace(directory.dump(), version=0))


def _beat(sent: Sent, by_name: bool) -> ReplicaHeartbeat:
    life, count = sent
    born = None if by_name else life
    # The port tells the life in both variants.
    instance = Instance(
        instance_id_of(NAME, born),
        "s",
        f"10.0.0.1:{life}",
        "z",
        1,
        replica=NAME,
        started_ms=born or 0,
    )
    return ReplicaHeartbeat(instance, count)


def _known_life(directory: Directory) -> int:
    """Return the life that the directory names; 0 for none."""
    lives = [int(item.address.rpartition(":")[2]) for item in directory.instances]
    return max(lives, default=0)


def _arrive(state: LivesState, sent: Sent, by_name: bool) -> LivesState:
    directory = _directory(state)
    directory.record(_beat(sent, by_name))
    return msgspec.structs.replace(
        state,
        directory=_encoded(directory),
        heard=max(state.heard, sent[0]),
        named=max(state.named, _known_life(directory)),
    )


def _steps(state: LivesState, by_name: bool) -> list[tuple[str, LivesState]]:
    change = msgspec.structs.replace
    steps: list[tuple[str, LivesState]] = []
    if state.count < LAST_COUNT:
        sent = (state.life, state.count + 1)
        under_way = state.under_way | {sent}
        steps.append(("it beats", change(state, count=sent[1], under_way=under_way)))
    if state.life < LAST_LIFE:
        steps.append(("it starts again", change(state, life=state.life + 1, count=0)))
    for sent in state.under_way:
        arrived = _arrive(state, sent, by_name)
        steps.append((f"{sent} arrives and may again", arrived))
        steps.append((f"{sent} arrives", change(arrived, under_way=state.under_way - {sent})))
    directory = _directory(state)
    known = _known_life(directory)
    if 0 < known < state.life:
        directory.remove(directory.instances[0].instance_id)
        gone = change(state, directory=_encoded(directory), removed=state.removed | {known})
        steps.append(("an ended life is removed", gone))
    return steps


def _is_known(found: dict[str, object]) -> bool:
    state = LivesState(**found)  # type: ignore[arg-type]
    return state.heard in state.removed or _known_life(_directory(state)) == state.heard


def _no_step_back(found: dict[str, object]) -> bool:
    state = LivesState(**found)  # type: ignore[arg-type]
    return _known_life(_directory(state)) in (0, state.named)


def protocol(by_name: bool = False) -> Protocol:
    """Return the model.

    Args:
        by_name: Broken variant: a replica is known by its name, whatever life it is in.
    """

    def transitions(key: State) -> list[tuple[str, State]]:
        state = LivesState(*key)  # type: ignore[arg-type]
        return [(label, msgspec.structs.astuple(new)) for label, new in _steps(state, by_name)]

    return Protocol(
        name="lives",
        candidate=False,
        fields=LivesState.__struct_fields__,
        initial=msgspec.structs.astuple(LivesState()),
        transitions=transitions,
        invariants={
            "the newest life that was heard is known": _is_known,
            "no step back to an earlier life": _no_step_back,
        },
    )
