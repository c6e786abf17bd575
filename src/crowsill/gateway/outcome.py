"""Ends a request for its caller: with a replica's response, a rejection, or a closed connection.

A rejection reports "not run" only when that is known, and then carries a `Retry-After`. A response
that was relayed in part ends with an aborted connection, so that the caller detects that it is
incomplete.
"""

from crowsill.errors import ErrorKind, Problem
from crowsill.errors import Outcome as RunOutcome
from crowsill.gateway.attempt import Attempt, AttemptEnd, AttemptResult, encode_complete_response
from crowsill.gateway.caller_protocol import CallerConnection
from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.headers import Headers
from crowsill.gateway.peers.wire import ATTEMPTS
from crowsill.gateway.progress import Progress
from crowsill.gateway.request import CallerRequest
from crowsill.gateway.response import encode_problem
from crowsill.gateway.selection import NoReplicaReason
from crowsill.gateway.waiting import RejectedRequest

# `Retry-After` of a request that was not sent before its deadline.
NOT_SENT_RETRY_S = 0.3


class Outcome:
    """Ends one request."""

    def __init__(
        self,
        context: ExchangeContext,
        caller: CallerConnection,
        request: CallerRequest,
        progress: Progress,
        log: ExchangeLog,
        *,
        is_for_peer: bool = False,
    ) -> None:
        """Create the outcome of one request.

        Args:
            context: The gateway process.
            caller: Connection of the caller, or of the gateway that passed the request on.
            request: The request.
            progress: Its attempts.
            log: Its log lines.
            is_for_peer: Whether another gateway passed it on.
        """
        self._is_for_peer = is_for_peer
        self._context = context
        self._caller = caller
        self._request = request
        self._progress = progress
        self._log = log

    def closes_connection(self) -> bool:
        """Whether the caller's connection closes after this response."""
        return self._context.is_stopping() or not self._request.keep_alive

    def respond(self, end: AttemptEnd) -> None:
        """Respond to the caller with the result of the last attempt."""
        if end.result is AttemptResult.TRUNCATED:
            self._log_rejected("answer_cut", end.detail)
            self._caller.abort()
            return
        if end.result is AttemptResult.FAILED:
            self.reject(ErrorKind.BACKEND_FAILED, f"the replica failed: {end.detail}")
            return
        close = self.closes_connection()
        if not end.relayed:
            is_head = self._request.method == b"HEAD"
            self._caller.write(encode_complete_response(end, close, is_head))
        self._log.log_finished(end.status, self._progress.attempts, self._progress.attempt)
        self._caller.finish(not close)

    def give_up(self, rejected: RejectedRequest) -> None:
        """Reject the request because no replica can take it."""
        reason = rejected.reason
        if self._progress.may_have_run:
            self.reject(ErrorKind.BACKEND_FAILED, f"no replica is left to try: {reason}")
            return
        kind, detail = ErrorKind.OVERLOADED, f"every replica is full: {self._progress.last_failure}"
        if reason is NoReplicaReason.NO_MODEL:
            kind, detail = ErrorKind.NO_REPLICA, "no replica holds the model yet"
        elif reason is NoReplicaReason.NO_REPLICA:
            kind, detail = ErrorKind.NO_REPLICA, "the service has no replica"
        elif reason is NoReplicaReason.UNREACHABLE:
            kind = ErrorKind.NO_REPLICA
            detail = "this gateway reaches no replica of the service, and no other gateway helped"
        elif reason is NoReplicaReason.ALL_CLOSED:
            detail = rejected.detail or "every replica that could run it is temporarily excluded"
        self.reject(kind, detail, round(rejected.retry_after_s, 2))

    def time_out(self) -> None:
        """End the request at its deadline, or because the process stops."""
        if self._caller.is_closed or not self._caller.is_busy:
            return
        attempt: Attempt | None = self._progress.attempt
        if attempt is not None and attempt.is_relaying:
            self._log_rejected(
                ErrorKind.ANSWER_TRUNCATED, f"truncated after {attempt.relayed_bytes} bytes"
            )
            self._caller.abort()
            return
        if self._progress.may_have_run:
            self.reject(ErrorKind.DEADLINE_EXCEEDED, "no response before the deadline")
        else:
            self.reject(ErrorKind.OVERLOADED, "not sent in time", NOT_SENT_RETRY_S)

    def fail(self) -> bool:
        """Respond with an internal error; return False if part of a response has been sent.

        The response doesn't state whether the request ran, since that is not known.
        """
        attempt: Attempt | None = self._progress.attempt
        if self._caller.is_closed or not self._caller.is_busy:
            return False
        if attempt is not None and attempt.is_relaying:
            return False
        self.reject(ErrorKind.INTERNAL, "the gateway failed while it served the request")
        return True

    def reject(self, kind: ErrorKind, detail: str, retry_after_s: float | None = None) -> None:
        """Respond with an error of a given kind.

        Args:
            kind: Selects the status and the body.
            detail: One sentence for the caller.
            retry_after_s: Value of `Retry-After` in seconds; None for that of `kind`.
        """
        self._log_rejected(kind, detail, retry_after_s)
        names = self._context.names
        close = self.closes_connection()
        problem = Problem(kind, detail)
        response = encode_problem(
            problem,
            self._request.request_id,
            names.request_id,
            close,
            retry_after_s,
            more_headers=self._headers_for_peer(problem),
        )
        self._caller.write(response)
        self._caller.finish(not close)

    def _headers_for_peer(self, problem: Problem) -> Headers:
        """Return the headers that tell a peer that the request may be sent elsewhere."""
        if not self._is_for_peer or problem.answer.outcome is not RunOutcome.NOT_RUN:
            return []
        attempts = b"%d" % self._progress.attempts
        return [(self._context.names.not_run, b"1"), (ATTEMPTS, attempts)]

    def _log_rejected(self, kind: str, detail: str, retry_after_s: float | None = None) -> None:
        self._log.log_rejected(kind, detail, self._progress, retry_after_s)
