"""Claims: an unsafe request runs at most once, regardless of how often and where it is sent.

A claim is committed before the request is dispatched, and settled afterwards. The claim is durable
and identifies the exact attempt before anything executes, as in the claim protocol of "Chapter 7:
Graph Is a Schedule, Not a Second Runtime". Here a majority agrees on the claim instead of one local
database.
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
    """State of a claim."""

    OPEN = "open"
    RELEASED = "released"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Claim(msgspec.Struct, array_like=True):
    """One claim.

    Attributes:
        fingerprint: Hash that the key is bound to.
        attempt: The attempt that was granted.
        holder: Incarnation of the entry that runs the attempt.
        state: State of the claim.
        opened_at_s: Wall-clock time of the grant, where retention starts.
        response: The recorded response, if any.
    """

    fingerprint: bytes
    attempt: str
    holder: str
    state: ClaimState
    opened_at_s: float
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
        # The same attempt repeats the command because the first result was lost in transit.
        return ClaimResult(ClaimDecision.GRANTED)
    return ClaimResult(ClaimDecision.IN_PROGRESS)


class ClaimTable:
    """All claims within retention: recent ones in full, older ones as digests of their keys."""

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
            # The released attempt did not run, so another attempt may take the claim.
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
        """Record how an attempt ended; return whether the attempt still owned the claim."""
        claim = self._claims.get(command.key)
        if claim is None or claim.attempt != command.attempt:
            return False
        if claim.state is ClaimState.ANSWERED:
            return command.settlement is ClaimSettlement.ANSWERED
        if command.settlement is ClaimSettlement.ANSWERED:
            # This also corrects an outcome that was recorded as unknown.
            claim.state = ClaimState.ANSWERED
            claim.response = command.response
            self._response_bytes += _response_size(claim)
            return True
        if claim.state is ClaimState.UNKNOWN:
            return False
        require(claim.state in (ClaimState.OPEN, ClaimState.RELEASED), "a claim is settled once")
        not_run = command.settlement is ClaimSettlement.NOT_RUN
        # A released claim is kept, so that a late duplicate of the same attempt is not granted.
        claim.state = ClaimState.RELEASED if not_run else ClaimState.UNKNOWN
        return True

    def abandon(self, holders: set[str]) -> int:
        """Set open claims of entries that are gone to an unknown outcome; return their number."""
        count = 0
        for claim in self._claims.values():
            if claim.state is ClaimState.OPEN and claim.holder in holders:
                claim.state = ClaimState.UNKNOWN
                count += 1
        return count

    def open_holders(self) -> set[str]:
        """Return the incarnations of entries that have open claims."""
        claims = self._claims.values()
        return {claim.holder for claim in claims if claim.state is ClaimState.OPEN}

    def _forget_old(self, now_s: float) -> None:
        """Archive claims that exceed the limits of age, number or size as digests of their keys."""
        self._archive.forget_before(now_s - self._retention_s)
        full_after_at_s = now_s - min(FULL_CLAIM_RETENTION_S, self._retention_s)
        while self._claims:
            key = next(iter(self._claims))
            claim = self._claims[key]
            is_over_limit = (
                len(self._claims) > MAX_FULL_CLAIMS or self._response_bytes > MAX_RESPONSE_BYTES
            )
            if claim.opened_at_s >= full_after_at_s and not is_over_limit:
                return
            self._remove(key)
            # A released claim did not run, so its key may be claimed again.
            if claim.state is not ClaimState.RELEASED:
                self._archive.add(key_digest(key), claim.opened_at_s)
                require(key_digest(key) in self._archive, "a used key is not forgotten")

    def _remove(self, key: ClaimKey) -> None:
        self._response_bytes -= _response_size(self._claims.pop(key))

    def dump(self) -> list[tuple[ClaimKey, Claim]]:
        """Return the full claims for a snapshot."""
        return list(self._claims.items())

    def dump_archive(self) -> list[ClaimBucket]:
        """Return the digests of older claims for a snapshot."""
        return self._archive.dump()

    def load(self, claims: list[tuple[ClaimKey, Claim]], archive: list[ClaimBucket]) -> None:
        """Replace the state from a snapshot."""
        self._claims = dict(claims)
        self._response_bytes = sum(_response_size(claim) for claim in self._claims.values())
        self._archive.load(archive)


def _response_size(claim: Claim) -> int:
    return 0 if claim.response is None else len(claim.response.body)
