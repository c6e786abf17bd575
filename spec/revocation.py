"""A key is taken away while a gateway, its questions and a request are under way.

A gateway asks what is current, a member reads it, the reply arrives: each at any later moment. A
request is checked by the product's own decision when it arrives and again when it is sent to a
replica, with any time between. Nothing may run with a key later than the bound after the operator
was told that it is gone. Broken variants: the proof's age counts from the reply, or a request is
not looked at again when it is sent.
"""

import hashlib

import msgspec
from minicheck import Protocol

from crowsill.model.tenants import Tenant
from crowsill.tenancy.identity import Principal, TenantDirectory

NEVER = -1
LAST_TICK = 8
# In ticks of a second; the gateway stops `REVOCATION_MARGIN_S`, one tick, before it.
BOUND_TICKS = 3
KEY = b"Bearer key"
DIRECTORIES = (
    TenantDirectory([Tenant("t", [hashlib.sha256(b"key").hexdigest()])]),
    TenantDirectory([Tenant("t")]),
)

State = tuple[object, ...]


class KeyState(msgspec.Struct, frozen=True):
    """One state of the model.

    Attributes:
        now: The clock.
        taken: When the removal of the key was acknowledged; -1 before.
        asked: When the question under way was asked; -1 without one.
        read: Version that a member read for it, 0 with the key and 1 without; -1 before.
        known: Version that the gateway has.
        proved: Clock that its proof counts from; -1 before the first.
        waiting: Whether a request that was let in waits for its replica.
        ran: When it ran; -1 before.
    """

    now: int = 0
    taken: int = NEVER
    asked: int = NEVER
    read: int = NEVER
    known: int = 0
    proved: int = NEVER
    waiting: bool = False
    ran: int = NEVER


def _may_run(state: KeyState) -> bool:
    if state.proved == NEVER:
        return False
    found = DIRECTORIES[state.known].identify(
        [KEY],
        is_public=False,
        proof_age_s=float(state.now - state.proved),
        revocation_s=float(BOUND_TICKS),
    )
    return isinstance(found, Principal)


def _steps(
    state: KeyState, counts_from_reply: bool, checks_once: bool
) -> list[tuple[str, KeyState]]:
    change = msgspec.structs.replace
    steps: list[tuple[str, KeyState]] = []
    if state.now < LAST_TICK:
        steps.append(("a tick passes", change(state, now=state.now + 1)))
    if state.taken == NEVER:
        steps.append(("the key is taken away", change(state, taken=state.now)))
    if state.asked == NEVER:
        steps.append(("the gateway asks", change(state, asked=state.now, read=NEVER)))
    elif state.read == NEVER:
        version = 0 if state.taken == NEVER else 1
        steps.append(("a member reads", change(state, read=version)))
    else:
        proved = state.now if counts_from_reply else state.asked
        known = max(state.known, state.read)
        replied = change(state, known=known, proved=proved, asked=NEVER, read=NEVER)
        steps.append(("the reply arrives", replied))
    if not state.waiting and state.ran == NEVER and _may_run(state):
        steps.append(("a request is let in", change(state, waiting=True)))
    if state.waiting and (checks_once or _may_run(state)):
        steps.append(("it is sent", change(state, waiting=False, ran=state.now)))
    return steps


def _in_time(found: dict[str, object]) -> bool:
    state = KeyState(**found)  # type: ignore[arg-type]
    return NEVER in (state.ran, state.taken) or state.ran <= state.taken + BOUND_TICKS


def protocol(counts_from_reply: bool = False, checks_once: bool = False) -> Protocol:
    """Return the model.

    Args:
        counts_from_reply: Broken variant: a proof counts from when its reply arrived.
        checks_once: Broken variant: a request is looked at when it arrives only.
    """

    def transitions(key: State) -> list[tuple[str, State]]:
        state = KeyState(*key)  # type: ignore[arg-type]
        steps = _steps(state, counts_from_reply, checks_once)
        return [(label, msgspec.structs.astuple(new)) for label, new in steps]

    return Protocol(
        name="revocation",
        candidate=False,
        fields=KeyState.__struct_fields__,
        initial=msgspec.structs.astuple(KeyState()),
        transitions=transitions,
        invariants={"a taken key runs nothing after its bound": _in_time},
    )
