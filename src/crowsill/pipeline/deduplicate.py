"""Filter: an unsafe request runs only under a claim that a majority has agreed on."""

import asyncio
import uuid
from typing import Protocol

import xxhash
from returns.result import Failure, Result, Success

from crowsill.clock import monotonic_s, wall_s
from crowsill.constants import CLAIM_RETENTION_S, MAX_RECORDED_BODY_BYTES
from crowsill.errors import ErrorKind, Outcome, Problem
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.request import ClassifiedRequest
from crowsill.pipeline.incoming import WholeAnswer
from crowsill.state.commands import (
    ClaimDecision,
    ClaimKey,
    ClaimResult,
    ClaimSettlement,
    OpenClaim,
    RecordedResponse,
    SettleClaim,
)
from crowsill.transport.messages import SubmitCommand, Submitted

CLAIM_TIMEOUT_S = 5.0
SETTLE_TIMEOUT_S = 60.0
TIMED_UUID_VERSION = 7
# Callers' clocks may be wrong by so much.
CLOCK_MARGIN_S = 3600.0

_PROBLEMS = {
    ClaimDecision.IN_PROGRESS: Problem(
        ErrorKind.KEY_IN_PROGRESS, "an earlier attempt with this key is still running"
    ),
    ClaimDecision.UNKNOWN: Problem(
        ErrorKind.OUTCOME_UNKNOWN, "an earlier attempt with this key may have run; it is not rerun"
    ),
    ClaimDecision.CONFLICT: Problem(
        ErrorKind.KEY_CONFLICT, "this key was used with another method, path or body"
    ),
}


def key_made_s(key: str) -> float | None:
    """Return when a key was made, if it is a UUID of version 7, which carries its time.

    >>> key_made_s("0190163d-8694-739b-aea5-966c26f8ad91")
    1718360049.3
    >>> key_made_s("stop-4711") is None
    True
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return (parsed.int >> 80) / 1000 if parsed.version == TIMED_UUID_VERSION else None


def _expired(key: str) -> Problem | None:
    """Refuse a key that may be older than what the claims remember."""
    made_s = key_made_s(key)
    if made_s is None or wall_s() - made_s < CLAIM_RETENTION_S - CLOCK_MARGIN_S:
        return None
    days = CLAIM_RETENTION_S / 86400
    detail = f"this key is older than the {days:g} days that keys are remembered; it is not run"
    return Problem(ErrorKind.KEY_EXPIRED, detail)


class ClaimSubmitter(Protocol):
    """Has commands committed by the control members."""

    async def submit(self, request: SubmitCommand, deadline_s: float) -> Result[Submitted, Problem]:
        """Commit a command."""


class ClaimHandle:
    """The right to run one unsafe request, and the duty to say how it ended."""

    def __init__(self, key: ClaimKey, attempt: str) -> None:
        self.key = key
        self.attempt = attempt


def _fingerprint(request: ClassifiedRequest) -> bytes:
    head = f"{request.method}\n{request.path}\n".encode()
    return xxhash.xxh3_128_digest(head + request.body)


class Deduplicator:
    """Opens and settles claims for one entry."""

    def __init__(self, submitter: ClaimSubmitter, holder: str) -> None:
        """Make the filter.

        Args:
            submitter: Has commands committed.
            holder: Incarnation of this entry.
        """
        self._submitter = submitter
        self._holder = holder
        self._settling: set[asyncio.Task[None]] = set()

    @property
    def unsettled(self) -> int:
        """Settlements that are not committed yet."""
        return len(self._settling)

    async def claim(self, request: ClassifiedRequest) -> Result[ClaimHandle | WholeAnswer, Problem]:
        """Claim an unsafe request.

        Returns:
            A handle when it may run now, or the recorded answer of an earlier attempt.
        """
        expired = _expired(request.idempotency_key or "")
        if expired is not None:
            return Failure(expired)
        key = ClaimKey(request.tenant, request.resource, request.idempotency_key or "")
        attempt = uuid.uuid4().hex
        command = OpenClaim(key, _fingerprint(request), attempt, self._holder, 0.0)
        deadline_s = min(request.deadline_at_s, monotonic_s() + CLAIM_TIMEOUT_S)
        reply = await self._submitter.submit(SubmitCommand(command), deadline_s)
        if not isinstance(reply, Success):
            # The claim may have been committed all the same; release it once that is possible,
            # so that a resend is not told for good that this attempt is running.
            self.settle(ClaimHandle(key, attempt), ClaimSettlement.NOT_RUN, None)
            detail = "no majority can say whether this key was used; this attempt was not run"
            return Failure(Problem(ErrorKind.CLAIMS_UNAVAILABLE, detail))
        result = reply.unwrap().result
        if not isinstance(result, ClaimResult):
            return Failure(Problem(ErrorKind.INTERNAL, "unexpected reply to a claim"))
        if result.decision is ClaimDecision.GRANTED:
            return Success(ClaimHandle(key, attempt))
        if result.decision is ClaimDecision.ANSWERED and result.response is not None:
            answer = result.response
            return Success(WholeAnswer(answer.status, answer.content_type, answer.body, True))
        return Failure(_PROBLEMS[result.decision])

    def settle_answer(self, handle: ClaimHandle, answer: WholeAnswer) -> None:
        """Record the answer of a claimed request; one that is too large is not kept."""
        recorded = None
        if len(answer.body) <= MAX_RECORDED_BODY_BYTES:
            recorded = RecordedResponse(answer.status, answer.content_type, answer.body)
        self.settle(handle, ClaimSettlement.ANSWERED, recorded)

    def settle_problem(self, handle: ClaimHandle, problem: Problem) -> None:
        """Record that a claimed request was not run, or that nobody knows."""
        not_run = problem.answer.outcome is Outcome.NOT_RUN
        settlement = ClaimSettlement.NOT_RUN if not_run else ClaimSettlement.UNKNOWN
        self.settle(handle, settlement, None)

    def settle(
        self, handle: ClaimHandle, settlement: ClaimSettlement, answer: RecordedResponse | None
    ) -> None:
        """Settle in the background, for as long as it takes within a bound."""
        command = SettleClaim(handle.key, handle.attempt, settlement, answer, 0.0)
        task = asyncio.create_task(self._settle(command))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _settle(self, command: SettleClaim) -> None:
        deadline_s = monotonic_s() + SETTLE_TIMEOUT_S
        reply = await self._submitter.submit(SubmitCommand(command), deadline_s)
        if not isinstance(reply, Success):
            log_event(Event.CLAIM_ABANDONED, key=command.key.key, attempt=command.attempt)
