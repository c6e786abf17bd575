"""The closed list of error kinds, and the table of the response to each kind.

Every rejection or failure that a caller or an operator can see has one `ErrorKind`. The table
`ERROR_ANSWERS` gives the HTTP status, whether this attempt is known not to have run, and whether
sending the same request again is safe. docs/ERRORS.md lists the same table and a test keeps the
two equal.
"""

from dataclasses import dataclass
from enum import StrEnum

import msgspec


class Outcome(StrEnum):
    """Whether a back end is known not to have run a request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every kind of error that crowsill reports."""

    INVALID_REQUEST = "invalid_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    KEY_REQUIRED = "key_required"
    KEY_CONFLICT = "key_conflict"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_EXPIRED = "key_expired"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_REPLICA = "no_replica"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_FAILED = "backend_failed"
    ANSWER_TRUNCATED = "answer_truncated"
    NOT_READY = "not_ready"
    QUARANTINED = "quarantined"
    STREAM_UNKNOWN = "stream_unknown"
    STREAM_LOST = "stream_lost"
    CONFIGURATION_INVALID = "configuration_invalid"
    CONFIGURATION_CONFLICT = "configuration_conflict"
    NO_LEADER = "no_leader"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """The response to one kind of error.

    Attributes:
        status: HTTP status code.
        outcome: Whether this attempt is known not to have run.
        retryable: Whether sending the same request again is safe and useful.
        retry_after_s: Default `Retry-After` in seconds; None sends no such header.
    """

    status: int
    outcome: Outcome
    retryable: bool
    retry_after_s: int | None = None


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.INVALID_REQUEST: ErrorAnswer(400, _NOT_RUN, False),
    ErrorKind.UNAUTHENTICATED: ErrorAnswer(401, _NOT_RUN, False),
    ErrorKind.FORBIDDEN: ErrorAnswer(403, _NOT_RUN, False),
    ErrorKind.UNKNOWN_MODEL: ErrorAnswer(404, _NOT_RUN, False),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(404, _NOT_RUN, False),
    ErrorKind.UNKNOWN_ROUTE: ErrorAnswer(404, _NOT_RUN, False),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, _NOT_RUN, False),
    ErrorKind.HEADERS_TOO_LARGE: ErrorAnswer(431, _NOT_RUN, False),
    ErrorKind.REQUEST_TIMEOUT: ErrorAnswer(408, _NOT_RUN, True),
    ErrorKind.KEY_REQUIRED: ErrorAnswer(400, _NOT_RUN, False),
    ErrorKind.KEY_CONFLICT: ErrorAnswer(422, _NOT_RUN, False),
    # The first attempt with the key may be running; only its response shows the outcome.
    ErrorKind.KEY_IN_PROGRESS: ErrorAnswer(409, _UNKNOWN, True, 1),
    ErrorKind.KEY_EXPIRED: ErrorAnswer(410, _UNKNOWN, False),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(409, _UNKNOWN, False),
    # An earlier attempt with the key may have run, and no majority is reachable to find out.
    ErrorKind.CLAIMS_UNAVAILABLE: ErrorAnswer(503, _UNKNOWN, True, 2),
    ErrorKind.RATE_LIMITED: ErrorAnswer(429, _NOT_RUN, True, 1),
    ErrorKind.OVERLOADED: ErrorAnswer(503, _NOT_RUN, True, 2),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(504, _UNKNOWN, False),
    ErrorKind.NO_REPLICA: ErrorAnswer(503, _NOT_RUN, True, 5),
    ErrorKind.BACKEND_REFUSED: ErrorAnswer(503, _NOT_RUN, True, 1),
    ErrorKind.BACKEND_FAILED: ErrorAnswer(502, _UNKNOWN, False),
    ErrorKind.ANSWER_TRUNCATED: ErrorAnswer(502, _UNKNOWN, False),
    ErrorKind.NOT_READY: ErrorAnswer(503, _NOT_RUN, True, 2),
    # Not a 4xx status: a quarantined request may be harmless and only share path, caller and body
    # with the request that crashes replicas.
    ErrorKind.QUARANTINED: ErrorAnswer(503, _NOT_RUN, True, 300),
    # The caller may begin the stream anew, without the id of its last event.
    ErrorKind.STREAM_UNKNOWN: ErrorAnswer(503, _NOT_RUN, True, 1),
    ErrorKind.STREAM_LOST: ErrorAnswer(503, _NOT_RUN, False),
    ErrorKind.CONFIGURATION_INVALID: ErrorAnswer(422, _NOT_RUN, False),
    ErrorKind.CONFIGURATION_CONFLICT: ErrorAnswer(409, _NOT_RUN, False),
    ErrorKind.NO_LEADER: ErrorAnswer(503, _UNKNOWN, True, 1),
    ErrorKind.INTERNAL: ErrorAnswer(500, _UNKNOWN, False),
}


@dataclass(frozen=True, slots=True)
class Problem:
    """One error for a caller: the failure value of every `Result`.

    Attributes:
        kind: The kind that selects the response.
        detail: One sentence for the reader of the response.
        retry_after_s: Overrides the table's `Retry-After` when set.
        outcome: Overrides the table's outcome when more is known.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: int | None = None
    outcome: Outcome | None = None

    @property
    def answer(self) -> ErrorAnswer:
        """The table's row with this problem's overrides applied."""
        row = ERROR_ANSWERS[self.kind]
        retry_after_s = row.retry_after_s if self.retry_after_s is None else self.retry_after_s
        outcome = self.outcome or row.outcome
        return ErrorAnswer(row.status, outcome, row.retryable, retry_after_s)


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of every error response."""

    kind: str
    outcome: str
    retryable: bool
    detail: str
    request_id: str


def error_body(problem: Problem, request_id: str) -> bytes:
    """Encode the JSON error body.

    >>> error_body(Problem(ErrorKind.OVERLOADED, "queue full"), "r1").decode()
    '{"kind":"overloaded","outcome":"not_run","retryable":true,"detail":"queue full","request_id":"r1"}'
    """  # noqa: E501
    answer = problem.answer
    body = ErrorBody(problem.kind, answer.outcome, answer.retryable, problem.detail, request_id)
    return msgspec.json.encode(body)
