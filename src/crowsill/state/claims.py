"""Claims: an unsafe request runs at most once, however often and wherever it is sent.

A claim is committed before the request is dispatched and settled after. The shape, admission by
a durable claim that names the exact attempt before anything executes, is that of the claim
protocol in "Chapter 7: Graph Is a Schedule, Not a Second Runtime"; here the claim is agreed by a
majority instead of one local database.
"""

from enum import StrEnum

import msgspec

from crowsill.consensus.invariants import require
from crowsill.state.claim_archive import ClaimArchive, ClaimBucket, key_digest
from crowsill.state.commands import (
    ClaimDecision,
    ClaimKey,
    ClaimResult,
    ClaimSettlement,
    OpenClaim,
    RecordedResponse,
    SettleClaim,
)

FULL_CLAIM_RETENTION_S = 3600.0
MAX_FULL_CLAIMS = 8_000
MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class ClaimState(StrEnum):
    """Where a claim stands."""

    OPEN = "open"
    RELEASED = "released"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Claim(msgspec.Struct, array_like=True):
    """One claim.

    Attributes:
        fingerprint: Hash the key is bound to.
        attempt: The attempt that was granted.
        holder: Incarnation of the entry that runs it.
        state: Where it stands.
        opened_s: Wall clock of the grant; retention counts from it.
        response: The recorded answer, if any.
    """

    fingerprint: bytes
    attempt: str
    holder: str
    state: ClaimState
    opened_s: float
    response: RecordedResponse | None = None


def _may_take_over(claim: Claim, command: OpenClaim) -> bool:
    same_body = claim.fingerprint == command.fingerprint
    other_attempt = claim.attempt != command.attempt
    return claim.state is ClaimState.RELEASED and same_body and other_attempt


def _decide_known(claim: Claim, command: OpenClaim) -> ClaimResult:
    if claim.fingerprint != command.fingerprint:
        return ClaimResult(ClaimDecision.CONFLICT)
    if claim.state is ClaimState.ANSWERED and claim.response is not None:
        return ClaimResult(ClaimDecision.ANSWERED, claim.response)
    if claim.state in (ClaimState.ANSWERED, ClaimState.UNKNOWN):
        return ClaimResult(ClaimDecision.UNKNOWN)
    if claim.state is ClaimState.RELEASED:
        return ClaimResult(ClaimDecision.IN_PROGRESS)
    if claim.attempt == command.attempt:
        # The same attempt asks again because the first answer was lost on its way.
        return ClaimResult(ClaimDecision.GRANTED)
    return ClaimResult(ClaimDecision.IN_PROGRESS)


class ClaimTable:
    """All claims within their retention: the newest whole, older ones as digests of their keys."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._claims: dict[ClaimKey, Claim] = {}
        self._response_bytes = 0
        self._archive = ClaimArchive()

    def __len__(self) -> int:
        return len(self._claims) + len(self._archive)

    def open(self, command: OpenClaim) -> ClaimResult:
        """Decide whether an attempt may run."""
        self._forget_old(command.at_s)
        claim = self._claims.get(command.key)
        if claim is None and key_digest(command.key) in self._archive:
            return ClaimResult(ClaimDecision.UNKNOWN)
        if claim is not None and _may_take_over(claim, command):
            # Not run so far: another attempt may have it.
            self._remove(command.key)
            claim = None
        if claim is None:
            self._claims[command.key] = Claim(
                command.fingerprint,
                command.attempt,
                command.holder,
                ClaimState.OPEN,
                command.at_s,
            )
            return ClaimResult(ClaimDecision.GRANTED)
        return _decide_known(claim, command)

    def settle(self, command: SettleClaim) -> bool:
        """Record how an attempt ended; return whether the attempt still held the claim."""
        claim = self._claims.get(command.key)
        if claim is None or claim.attempt != command.attempt:
            return False
        if claim.state is ClaimState.ANSWERED:
            return command.settlement is ClaimSettlement.ANSWERED
        if command.settlement is ClaimSettlement.ANSWERED:
            # This also corrects an outcome that was given up as unknown.
            claim.state = ClaimState.ANSWERED
            claim.response = command.response
            self._response_bytes += _response_size(claim)
            return True
        if claim.state is ClaimState.UNKNOWN:
            return False
        require(claim.state in (ClaimState.OPEN, ClaimState.RELEASED), "a claim ends once")
        not_run = command.settlement is ClaimSettlement.NOT_RUN
        # A released claim stays, so that a late copy of the same attempt is not granted again.
        claim.state = ClaimState.RELEASED if not_run else ClaimState.UNKNOWN
        return True

    def abandon(self, holders: set[str]) -> int:
        """Give up the open claims of vanished entries; return how many there were."""
        count = 0
        for claim in self._claims.values():
            if claim.state is ClaimState.OPEN and claim.holder in holders:
                claim.state = ClaimState.UNKNOWN
                count += 1
        return count

    def open_holders(self) -> set[str]:
        """Entries that hold open claims."""
        claims = self._claims.values()
        return {claim.holder for claim in claims if claim.state is ClaimState.OPEN}

    def _forget_old(self, now_s: float) -> None:
        """Keep the newest claims whole, within bounds; of the others only that they were."""
        self._archive.forget_before(now_s - self._retention_s)
        whole_after_s = now_s - min(FULL_CLAIM_RETENTION_S, self._retention_s)
        while self._claims:
            key = next(iter(self._claims))
            claim = self._claims[key]
            over = len(self._claims) > MAX_FULL_CLAIMS or self._response_bytes > MAX_RESPONSE_BYTES
            if claim.opened_s >= whole_after_s and not over:
                return
            self._remove(key)
            # A released claim was not run, and may be claimed afresh.
            if claim.state is not ClaimState.RELEASED:
                self._archive.add(key_digest(key), claim.opened_s)
                require(key_digest(key) in self._archive, "a used key is not forgotten")

    def _remove(self, key: ClaimKey) -> None:
        self._response_bytes -= _response_size(self._claims.pop(key))

    def dump(self) -> list[tuple[ClaimKey, Claim]]:
        """Return the whole claims for a snapshot."""
        return list(self._claims.items())

    def dump_archive(self) -> list[ClaimBucket]:
        """Return the digests of older claims for a snapshot."""
        return self._archive.dump()

    def load(self, claims: list[tuple[ClaimKey, Claim]], archive: list[ClaimBucket]) -> None:
        """Replace everything from a snapshot."""
        self._claims = dict(claims)
        self._response_bytes = sum(_response_size(claim) for claim in self._claims.values())
        self._archive.load(archive)


def _response_size(claim: Claim) -> int:
    return 0 if claim.response is None else len(claim.response.body)
