"""Code that all HTTP listeners share: request ids, bodies, error responses, health and metrics."""

import re
import uuid
from typing import Any

import falcon
import falcon.asgi
from returns.result import Failure, Result, Success

from crowsill.constants import HEADER_REQUEST_ID, MAX_IDENTIFIER_LENGTH
from crowsill.errors import ErrorKind, Problem, error_body
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import render_metrics

CONTENT_TYPE_JSON = "application/json"
BODY_TIMEOUT_S = 30.0
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]+")


def request_id_of(request: falcon.asgi.Request) -> str:
    """Return the caller's request id if it is valid, else a new one."""
    given = request.get_header(HEADER_REQUEST_ID)
    if given and len(given) <= MAX_IDENTIFIER_LENGTH and _REQUEST_ID.fullmatch(given):
        return given
    return uuid.uuid4().hex


def write_problem(response: falcon.asgi.Response, problem: Problem, request_id: str) -> None:
    """Write the response that the error table defines for a problem."""
    answer = problem.answer
    response.status = answer.status
    response.content_type = CONTENT_TYPE_JSON
    response.data = error_body(problem, request_id)
    response.set_header(HEADER_REQUEST_ID, request_id)
    if answer.retry_after_s is not None:
        response.set_header("Retry-After", str(answer.retry_after_s))


async def read_body(request: falcon.asgi.Request, max_bytes: int) -> Result[bytes, Problem]:
    """Read a complete body of at most `max_bytes`."""
    length = request.content_length
    if length is not None and length > max_bytes:
        return Failure(_too_large(max_bytes))
    parts: list[bytes] = []
    size = 0
    async for part in request.stream:
        size += len(part)
        if size > max_bytes:
            return Failure(_too_large(max_bytes))
        parts.append(part)
    if length is not None and size != length:
        detail = f"the body has {size} bytes, but Content-Length is {length}"
        return Failure(Problem(ErrorKind.INVALID_REQUEST, detail))
    return Success(b"".join(parts))


def _too_large(max_bytes: int) -> Problem:
    return Problem(ErrorKind.BODY_TOO_LARGE, f"the body is larger than {max_bytes} bytes")


async def handle_unexpected_error(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: Exception,
    _params: object,
) -> None:
    """Respond to an unexpected error without disclosing its details."""
    log_event(Event.INTERNAL_ERROR, where=request.path, error=repr(error))
    problem = Problem(ErrorKind.INTERNAL, "an unexpected error; its details are in the log")
    write_problem(response, problem, request_id_of(request))


async def handle_http_error(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: falcon.HTTPError,
    _params: object,
) -> None:
    """Respond to falcon's own errors, such as an unknown path, with crowsill's error body."""
    detail = f"{request.method} {request.path}: {error.title}"
    write_problem(response, Problem(ErrorKind.INVALID_REQUEST, detail), request_id_of(request))
    response.status = error.status_code


class HealthResource:
    """`GET /healthz`: whether the process is alive."""

    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Respond with 200."""
        response.content_type = CONTENT_TYPE_JSON
        response.data = b'{"status":"alive"}'


class MetricsResource:
    """`GET /metrics`: metrics in the text format of Prometheus."""

    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Respond with all metrics."""
        response.content_type = "text/plain; version=0.0.4; charset=utf-8"
        response.data = render_metrics()


def new_application() -> Any:  # noqa: ANN401
    """Return an application with the resources that every listener has."""
    application = falcon.asgi.App()
    application.add_error_handler(Exception, handle_unexpected_error)
    application.add_error_handler(falcon.HTTPError, handle_http_error)
    application.add_route("/healthz", HealthResource())
    application.add_route("/metrics", MetricsResource())
    return application
