"""Leaders order loads from the weight store, which allows a number of them in any sliding window.

A leader records a load with the group, then orders it, and may be suspended in between or lose its
leadership at any time. Its successor has applied all records. crowsill's own log of recorded loads
and window of loads decide how many the successor may start. Broken variants: a load is ordered
before it is recorded, or a load counts only from its record and not until it may have begun.
"""

import msgspec
from minicheck import Protocol

from crowsill.control.store_loads import RECORDED_LOAD_LIFETIME_S, StoreLoadLog
from crowsill.placement.load_window import SAFETY_LOADS, LoadWindow
from crowsill.state.commands import RecordStoreLoad

LAST_TICK = 6
# In ticks of `RECORDED_LOAD_LIFETIME_S`.
WINDOW_TICKS = 3
MAX_LOADS = 2
SERVICE = "s"

State = tuple[object, ...]


class LoadState(msgspec.Struct, frozen=True):
    """One state of the model.

    Attributes:
        now: Current time.
        term: Current term; the leader of the first term may be replaced once.
        records: Time of each record, and the term of its leader.
        pending: Records, by index, whose load was not ordered yet.
        started: Loads that the current leader counts itself, by time.
        begun: Times when loads began.
    """

    now: int = 0
    term: int = 1
    records: tuple[tuple[int, int], ...] = ()
    pending: tuple[int, ...] = ()
    started: tuple[int, ...] = ()
    begun: tuple[int, ...] = ()


def _seconds(ticks: int) -> float:
    return ticks * RECORDED_LOAD_LIFETIME_S


def _loads_left(state: LoadState, counts_from_record: bool) -> int:
    """Return how many loads the current leader may start now, by the product's own code."""
    window = LoadWindow(_seconds(WINDOW_TICKS), 0.0, MAX_LOADS + SAFETY_LOADS)
    log = StoreLoadLog(_seconds(-2 * LAST_TICK))
    for at, term in state.records:
        if term < state.term:
            log.note(RecordStoreLoad(SERVICE), _seconds(at))
    begun = log.since(SERVICE, _seconds(state.now - WINDOW_TICKS)) or []
    shift_s = RECORDED_LOAD_LIFETIME_S if counts_from_record else 0.0
    times = [at_s - shift_s for at_s in begun] + [_seconds(at) for at in state.started]
    for at_s in sorted(times):
        window.note_load(at_s)
    return window.loads_left(_seconds(state.now))


def _steps(
    state: LoadState, orders_first: bool, counts_from_record: bool
) -> list[tuple[str, LoadState]]:
    change = msgspec.structs.replace
    steps: list[tuple[str, LoadState]] = []
    if state.now < LAST_TICK:
        steps.append(("a tick passes", change(state, now=state.now + 1)))
    if state.term == 1:
        steps.append(("a successor leads", change(state, term=2, started=())))
    if _loads_left(state, counts_from_record) > 0 and len(state.records) < 2 * MAX_LOADS:
        recorded = change(
            state,
            records=(*state.records, (state.now, state.term)),
            pending=(*state.pending, len(state.records)),
            started=(*state.started, state.now + 1),
        )
        steps.append(("a load is recorded", recorded))
        if orders_first and state.term == 1:
            begun = change(
                state,
                started=(*state.started, state.now + 1),
                begun=(*state.begun, state.now),
            )
            steps.append(("a load is ordered, unrecorded", begun))
    for index in state.pending:
        at, _ = state.records[index]
        if state.now <= at + 1:
            left = tuple(item for item in state.pending if item != index)
            begun = change(state, pending=left, begun=(*state.begun, state.now))
            steps.append(("a recorded load begins", begun))
    return steps


def _within_window(found: dict[str, object]) -> bool:
    state = LoadState(**found)  # type: ignore[arg-type]
    return all(
        sum(1 for at in state.begun if begin <= at < begin + WINDOW_TICKS) <= MAX_LOADS
        for begin in state.begun
    )


def protocol(orders_first: bool = False, counts_from_record: bool = False) -> Protocol:
    """Return the model.

    Args:
        orders_first: Broken variant: a load may be ordered without a record.
        counts_from_record: Broken variant: a successor counts a load from its record only.
    """

    def transitions(key: State) -> list[tuple[str, State]]:
        state = LoadState(*key)  # type: ignore[arg-type]
        steps = _steps(state, orders_first, counts_from_record)
        return [(label, msgspec.structs.astuple(new)) for label, new in steps]

    return Protocol(
        name="store loads",
        candidate=False,
        fields=LoadState.__struct_fields__,
        initial=msgspec.structs.astuple(LoadState()),
        transitions=transitions,
        invariants={"no window has more loads than the store allows": _within_window},
    )
