"""Claims with resends, lost and late messages, and entry crashes.

One key, two attempts at two entries. Messages never disappear from the network, so each may arrive
any number of times and in any order. The transitions of the table are crowsill's own code.
"""

import msgspec
from minicheck import Protocol

from crowsill.state.claims import Claim, ClaimTable
from crowsill.state.commands import (
    ClaimDecision,
    ClaimKey,
    ClaimSettlement,
    OpenClaim,
    RecordedResponse,
    SettleClaim,
)

ATTEMPTS = ("first", "second")
_KEY = ClaimKey("tenant", "service", "key")
_RESPONSE = RecordedResponse(200, "text/plain", b"")
_RETENTION_S = 1e9

# Phases of an attempt at its entry.
IDLE, OPENING, GRANTED, RUNNING, ANSWERED, UNKNOWN, CRASHED, REJECTED = range(8)

State = tuple[object, ...]
Step = tuple[str, State]


class ClaimsState(msgspec.Struct, frozen=True):
    """One state of the model.

    Attributes:
        claim: The encoded claim in the table; empty if there is none.
        phases: Phase of each attempt.
        opened: Attempts whose open command is in the network.
        settled: Settlements in the network, as `attempt:settlement`.
        executions: Number of times the back end ran each attempt.
        reported_not_run: Attempts that were reported to the caller as "not run".
    """

    claim: bytes
    phases: tuple[int, ...]
    opened: frozenset[str]
    settled: frozenset[str]
    executions: tuple[int, ...]
    reported_not_run: frozenset[str]

    def key(self) -> State:
        """Return the state as a tuple for the checker."""
        return msgspec.structs.astuple(self)


def _table(claim: bytes) -> ClaimTable:
    table = ClaimTable(_RETENTION_S)
    if claim:
        table.load([(_KEY, msgspec.msgpack.decode(claim, type=Claim))], [])
    return table


def _dump(table: ClaimTable) -> bytes:
    claims = table.dump()
    return msgspec.msgpack.encode(claims[0][1]) if claims else b""


def _with_phase(state: ClaimsState, index: int, phase: int) -> ClaimsState:
    phases = (*state.phases[:index], phase, *state.phases[index + 1 :])
    return msgspec.structs.replace(state, phases=phases)


def _with_settlement(state: ClaimsState, attempt: str, settlement: ClaimSettlement) -> ClaimsState:
    settled = state.settled | {f"{attempt}:{settlement}"}
    return msgspec.structs.replace(state, settled=settled)


def _entry_steps(state: ClaimsState, index: int) -> list[tuple[str, ClaimsState]]:
    attempt, phase = ATTEMPTS[index], state.phases[index]
    steps: list[tuple[str, ClaimsState]] = []
    if phase == IDLE:
        asked = msgspec.structs.replace(state, opened=state.opened | {attempt})
        steps.append(("open", _with_phase(asked, index, OPENING)))
    if phase == OPENING:
        # The entry stops waiting. It will not dispatch, and reports that for this attempt only.
        left = _with_settlement(state, attempt, ClaimSettlement.NOT_RUN)
        steps.append(("give up", _with_phase(left, index, REJECTED)))
    if phase == GRANTED:
        counts = list(state.executions)
        counts[index] += 1
        ran = msgspec.structs.replace(state, executions=tuple(counts))
        steps.append(("run", _with_phase(ran, index, RUNNING)))
        rejected = _with_settlement(state, attempt, ClaimSettlement.NOT_RUN)
        reported = msgspec.structs.replace(
            rejected, reported_not_run=state.reported_not_run | {attempt}
        )
        steps.append(("reject", _with_phase(reported, index, REJECTED)))
    if phase == RUNNING:
        done = _with_settlement(state, attempt, ClaimSettlement.ANSWERED)
        steps.append(("respond", _with_phase(done, index, ANSWERED)))
        lost = _with_settlement(state, attempt, ClaimSettlement.UNKNOWN)
        steps.append(("lose response", _with_phase(lost, index, UNKNOWN)))
    if phase in (OPENING, GRANTED, RUNNING):
        steps.append(("crash", _with_phase(state, index, CRASHED)))
    return steps


def _open(state: ClaimsState, index: int) -> ClaimsState:
    attempt = ATTEMPTS[index]
    table = _table(state.claim)
    result = table.open(OpenClaim(_KEY, b"f", attempt, attempt, 0.0))
    new = msgspec.structs.replace(state, claim=_dump(table))
    # The response may be lost: the calling function also keeps the state without it.
    if result.decision is ClaimDecision.GRANTED and state.phases[index] == OPENING:
        return _with_phase(new, index, GRANTED)
    return new


def _settle(state: ClaimsState, message: str) -> ClaimsState:
    attempt, _, settlement = message.partition(":")
    table = _table(state.claim)
    kind = ClaimSettlement(settlement)
    response = _RESPONSE if kind is ClaimSettlement.ANSWERED else None
    table.settle(SettleClaim(_KEY, attempt, kind, response, 0.0))
    return msgspec.structs.replace(state, claim=_dump(table))


def _abandon(state: ClaimsState, index: int, broken: bool) -> ClaimsState:
    table = _table(state.claim)
    attempt = ATTEMPTS[index]
    if broken:
        # The broken variant settles the claim of an entry that is gone as not run.
        table.settle(SettleClaim(_KEY, attempt, ClaimSettlement.NOT_RUN, None, 0.0))
    else:
        table.abandon({attempt})
    return msgspec.structs.replace(state, claim=_dump(table))


def _steps(state: ClaimsState, broken: bool) -> list[tuple[str, ClaimsState]]:
    steps: list[tuple[str, ClaimsState]] = []
    for index, attempt in enumerate(ATTEMPTS):
        steps.extend(_entry_steps(state, index))
        if attempt in state.opened:
            opened = _open(state, index)
            steps.append((f"open {attempt}", opened))
            lost = msgspec.structs.replace(opened, phases=state.phases)
            steps.append((f"open {attempt}, response lost", lost))
        if state.phases[index] == CRASHED:
            steps.append((f"abandon {attempt}", _abandon(state, index, broken)))
    for message in sorted(state.settled):
        steps.append((f"settle {message}", _settle(state, message)))
    return steps


def protocol(broken: bool) -> Protocol:
    """Return the model; the broken variant releases the claims of entries that are gone."""

    def transitions(key: State) -> list[Step]:
        state = ClaimsState(*key)  # type: ignore[arg-type]
        return [(label, new.key()) for label, new in _steps(state, broken)]

    initial = ClaimsState(b"", (IDLE, IDLE), frozenset(), frozenset(), (0, 0), frozenset())
    return Protocol(
        name="claims",
        candidate=False,
        fields=ClaimsState.__struct_fields__,
        initial=initial.key(),
        transitions=transitions,
        invariants={
            "a key runs at most once": lambda state: sum(state["executions"]) <= 1,
            "not run was not run": lambda state: all(
                state["executions"][ATTEMPTS.index(attempt)] == 0
                for attempt in state["reported_not_run"]
            ),
        },
    )
