"""Filter for deduplication: an unsafe request runs only under a claim that a majority committed."""

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
from crowsill.pipeline.incoming import CompleteResponse
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
TIMESTAMP_UUID_VERSION = 7
# Maximum error of callers' clocks that is tolerated.
MAX_CLOCK_ERROR_S = 3600.0

_PROBLEM_BY_DECISION = {
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


def key_creation_wall_s(key: str) -> float | None:
    """Return the Unix time at which a key was created, or None.

    Only a UUID of version 7 carries its creation time.

    >>> key_creation_wall_s("0190163d-8694-739b-aea5-966c26f8ad91")
    1718360049.3
    >>> key_creation_wall_s("stop-4711") is None
    True
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return (parsed.int >> 80) / 1000 if parsed.version == TIMESTAMP_UUID_VERSION else None


def _expired_key_problem(key: str) -> Problem | None:
    """Return a problem if a key may be older than the retention of claims."""
    created_wall_s = key_creation_wall_s(key)
    if created_wall_s is None or wall_s() - created_wall_s < CLAIM_RETENTION_S - MAX_CLOCK_ERROR_S:
        return None
    days = CLAIM_RETENTION_S / 86400
    detail = f"the key is older than the retention of {days:g} days; this attempt was not run"
    return Problem(ErrorKind.KEY_EXPIRED, detail)


class ClaimSubmitter(Protocol):
    """Submits commands to the control members."""

    async def submit(
        self, request: SubmitCommand, deadline_at_s: float
    ) -> Result[Submitted, Problem]:
        """Submit a command and wait until it is committed."""


class ClaimHandle:
    """A granted claim: it permits one run of an unsafe request and must be settled afterwards."""

    def __init__(self, key: ClaimKey, attempt: str) -> None:
        self.key = key
        self.attempt = attempt


def _fingerprint(request: ClassifiedRequest) -> bytes:
    head = f"{request.method}\n{request.path}\n".encode()
    return xxhash.xxh3_128_digest(head + request.body)


class Deduplicator:
    """Opens and settles claims for one entry."""

    def __init__(self, submitter: ClaimSubmitter, holder: str) -> None:
        """Create the filter.

        Args:
            submitter: Submits commands to the control members.
            holder: Incarnation of this entry.
        """
        self._submitter = submitter
        self._holder = holder
        self._settlement_tasks: set[asyncio.Task[None]] = set()

    @property
    def unsettled_count(self) -> int:
        """Number of settlements that are not committed yet."""
        return len(self._settlement_tasks)

    async def claim(
        self, request: ClassifiedRequest
    ) -> Result[ClaimHandle | CompleteResponse, Problem]:
        """Claim an unsafe request.

        Returns:
            A handle if the request may run now, or the recorded response of an earlier attempt.
        """
        expired = _expired_key_problem(request.idempotency_key or "")
        if expired is not None:
            return Failure(expired)
        key = ClaimKey(request.tenant, request.resource, request.idempotency_key or "")
        attempt = uuid.uuid4().hex
        command = OpenClaim(key, _fingerprint(request), attempt, self._holder, 0.0)
        deadline_at_s = min(request.deadline_at_s, monotonic_s() + CLAIM_TIMEOUT_S)
        reply = await self._submitter.submit(SubmitCommand(command), deadline_at_s)
        if not isinstance(reply, Success):
            # The claim may have been committed nevertheless. Release it as soon as possible;
            # otherwise every later resend would be rejected as in progress.
            self.settle(ClaimHandle(key, attempt), ClaimSettlement.NOT_RUN, None)
            detail = "no majority confirmed whether the key was used; this attempt was not run"
            return Failure(Problem(ErrorKind.CLAIMS_UNAVAILABLE, detail))
        result = reply.unwrap().result
        if not isinstance(result, ClaimResult):
            return Failure(Problem(ErrorKind.INTERNAL, "unexpected reply to a claim"))
        if result.decision is ClaimDecision.GRANTED:
            return Success(ClaimHandle(key, attempt))
        if result.decision is ClaimDecision.ANSWERED and result.response is not None:
            recorded = result.response
            return Success(
                CompleteResponse(recorded.status, recorded.content_type, recorded.body, True)
            )
        return Failure(_PROBLEM_BY_DECISION[result.decision])

    def settle_response(self, handle: ClaimHandle, response: CompleteResponse) -> None:
        """Settle a claim as answered; the response is recorded unless it is too large."""
        recorded = None
        if len(response.body) <= MAX_RECORDED_BODY_BYTES:
            recorded = RecordedResponse(response.status, response.content_type, response.body)
        self.settle(handle, ClaimSettlement.ANSWERED, recorded)

    def settle_problem(self, handle: ClaimHandle, problem: Problem) -> None:
        """Settle a claim as not run, or as unknown if the request may have run."""
        not_run = problem.answer.outcome is Outcome.NOT_RUN
        settlement = ClaimSettlement.NOT_RUN if not_run else ClaimSettlement.UNKNOWN
        self.settle(handle, settlement, None)

    def settle(
        self, handle: ClaimHandle, settlement: ClaimSettlement, response: RecordedResponse | None
    ) -> None:
        """Settle a claim in the background; give up after `SETTLE_TIMEOUT_S`."""
        command = SettleClaim(handle.key, handle.attempt, settlement, response, 0.0)
        task = asyncio.create_task(self._settle(command))
        self._settlement_tasks.add(task)
        task.add_done_callback(self._settlement_tasks.discard)

    async def _settle(self, command: SettleClaim) -> None:
        deadline_at_s = monotonic_s() + SETTLE_TIMEOUT_S
        reply = await self._submitter.submit(SubmitCommand(command), deadline_at_s)
        if not isinstance(reply, Success):
            log_event(Event.CLAIM_ABANDONED, key=command.key.key, attempt=command.attempt)
