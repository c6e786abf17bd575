"""How a request ends for its caller: a replica's answer, a refusal, or a break that shows as one.

A refusal says "not run" only when that is known, and then when to come back.
"""

from crowsill.errors import ErrorKind, Problem
from crowsill.gateway.attempt import Attempt, AttemptEnd, AttemptResult, encode_complete_response
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.progress import Progress
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.response import encode_problem
from crowsill.gateway.selection import NoReplicaReason
from crowsill.gateway.waiting import RefusedRequest

# When to come back where a request was not sent within its time.
FULL_RETRY_S = 0.3


class Outcome:
    """Ends one request."""

    def __init__(
        self,
        context: ExchangeContext,
        caller: CallerConnection,
        request: CallerRequest,
        progress: Progress,
        log: ExchangeLog,
    ) -> None:
        self._context = context
        self._caller = caller
        self._request = request
        self._progress = progress
        self._log = log

    def closes(self) -> bool:
        """Whether the caller's connection ends with this answer."""
        return self._context.is_stopping() or not self._request.keep_alive

    def conclude(self, end: AttemptEnd) -> None:
        """Pass on what the last attempt brought."""
        if end.result is AttemptResult.TRUNCATED:
            self._log_refused("answer_cut", end.detail)
            self._caller.abort()
            return
        if end.result is AttemptResult.FAILED:
            self.refuse(ErrorKind.BACKEND_FAILED, f"the replica failed: {end.detail}")
            return
        close = self.closes()
        if not end.relayed:
            is_head = self._request.method == b"HEAD"
            self._caller.write(encode_complete_response(end, close, is_head))
        self._log.log_finished(end.status, self._progress.sendings, self._progress.attempt)
        self._caller.finish(not close)

    def give_up(self, refused: RefusedRequest) -> None:
        """Refuse because no replica takes the request."""
        why = refused.reason
        if self._progress.may_have_run:
            self.refuse(ErrorKind.BACKEND_FAILED, f"no replica is left to try: {why}")
            return
        kind, detail = ErrorKind.OVERLOADED, f"every replica is full: {self._progress.last}"
        if why is NoReplicaReason.NO_MODEL:
            kind, detail = ErrorKind.NO_REPLICA, "no replica holds the model yet"
        elif why is NoReplicaReason.NO_REPLICA:
            kind, detail = ErrorKind.NO_REPLICA, "the service has no replica"
        elif why is NoReplicaReason.ALL_CLOSED:
            detail = refused.detail or "every replica that could run it is closed for a moment"
        self.refuse(kind, detail, round(refused.back_s, 2))

    def time_out(self) -> None:
        """End the request because its time, or that of the process, is over."""
        if self._caller.is_closed or not self._caller.is_busy:
            return
        attempt: Attempt | None = self._progress.attempt
        if attempt is not None and attempt.is_relaying:
            self._log_refused(
                ErrorKind.ANSWER_TRUNCATED, f"cut after {attempt.relayed_bytes} bytes"
            )
            self._caller.abort()
            return
        if self._progress.may_have_run:
            self.refuse(ErrorKind.DEADLINE_EXCEEDED, "no answer in time")
        else:
            self.refuse(ErrorKind.OVERLOADED, "not sent in time", FULL_RETRY_S)

    def fail(self) -> bool:
        """Answer that the gateway failed; return False where part of an answer has gone out.

        The answer promises nothing about the run: what failed is not known.
        """
        attempt: Attempt | None = self._progress.attempt
        if self._caller.is_closed or not self._caller.is_busy:
            return False
        if attempt is not None and attempt.is_relaying:
            return False
        self.refuse(ErrorKind.INTERNAL, "the gateway failed while it served the request")
        return True

    def refuse(self, kind: ErrorKind, detail: str, retry_after_s: float | None = None) -> None:
        """Answer with an error of the closed list."""
        self._log_refused(kind, detail, retry_after_s)
        names = self._context.names
        close = self.closes()
        problem = Problem(kind, detail)
        answer = encode_problem(
            problem, self._request.request_id, names.request_id, close, retry_after_s
        )
        self._caller.write(answer)
        self._caller.finish(not close)

    def _log_refused(self, kind: str, detail: str, retry_after_s: float | None = None) -> None:
        self._log.log_rejected(kind, detail, self._progress, retry_after_s)
