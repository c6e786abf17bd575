"""A key is revoked while a gateway's freshness query and a request are in progress.

The gateway sends a query, a member reads the current version, and the response arrives, each at any
later time. crowsill's own check decides on a request when it arrives and again when it is sent to a
replica, with any time in between. No request may run with a key later than the bound after the
removal of the key was acknowledged. Broken variants: the age of the proof counts from the response,
or a request is not checked again when it is sent.
"""

import hashlib

import msgspec
from minicheck import Protocol

from crowsill.model.tenants import Tenant
from crowsill.tenancy.identity import Principal, TenantDirectory

NEVER = -1
LAST_TICK = 8
# In ticks of one second. The gateway stops one tick earlier, by `REVOCATION_MARGIN_S`.
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
        now: Current time.
        revoked_at: Time when the removal of the key was acknowledged; -1 before.
        asked_at: Time when the pending query was sent; -1 without one.
        read_version: Version that a member read for the query, 0 with the key and 1 without; -1
            before.
        known_version: Version that the gateway has.
        proof_at: Time from which the age of the proof counts; -1 before the first proof.
        waiting: Whether an accepted request waits for a replica.
        ran_at: Time when the request ran; -1 before.
    """

    now: int = 0
    revoked_at: int = NEVER
    asked_at: int = NEVER
    read_version: int = NEVER
    known_version: int = 0
    proof_at: int = NEVER
    waiting: bool = False
    ran_at: int = NEVER


def _may_run(state: KeyState) -> bool:
    if state.proof_at == NEVER:
        return False
    found = DIRECTORIES[state.known_version].identify(
        [KEY],
        is_public=False,
        proof_age_s=float(state.now - state.proof_at),
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
    if state.revoked_at == NEVER:
        steps.append(("the key is revoked", change(state, revoked_at=state.now)))
    if state.asked_at == NEVER:
        steps.append(
            ("the gateway sends a query", change(state, asked_at=state.now, read_version=NEVER))
        )
    elif state.read_version == NEVER:
        version = 0 if state.revoked_at == NEVER else 1
        steps.append(("a member reads the version", change(state, read_version=version)))
    else:
        proof_at = state.now if counts_from_reply else state.asked_at
        known_version = max(state.known_version, state.read_version)
        replied = change(
            state,
            known_version=known_version,
            proof_at=proof_at,
            asked_at=NEVER,
            read_version=NEVER,
        )
        steps.append(("the response arrives", replied))
    if not state.waiting and state.ran_at == NEVER and _may_run(state):
        steps.append(("a request is accepted", change(state, waiting=True)))
    if state.waiting and (checks_once or _may_run(state)):
        steps.append(("the request is sent", change(state, waiting=False, ran_at=state.now)))
    return steps


def _in_time(found: dict[str, object]) -> bool:
    state = KeyState(**found)  # type: ignore[arg-type]
    return (
        NEVER in (state.ran_at, state.revoked_at) or state.ran_at <= state.revoked_at + BOUND_TICKS
    )


def protocol(counts_from_reply: bool = False, checks_once: bool = False) -> Protocol:
    """Return the model.

    Args:
        counts_from_reply: Broken variant: the age of a proof counts from the response.
        checks_once: Broken variant: a request is checked only when it arrives.
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
