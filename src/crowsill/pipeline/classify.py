"""Filter for classification: resource, urgency and deadline of a request, and whether it is unsafe.

An unsafe request must run at most once.
"""

from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from crowsill.constants import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_URGENCY,
    MAX_IDENTIFIER_LENGTH,
)
from crowsill.errors import ErrorKind, Problem
from crowsill.json_input import decode_json
from crowsill.model.configuration import Urgency
from crowsill.model.request import ClassifiedRequest, RequestTarget
from crowsill.pipeline.incoming import IncomingRequest
from crowsill.pipeline.routing_table import Route, TenantRoutes
from crowsill.routing.affinity import prefix_hash

PATH_COMPLETIONS = "/v1/completions"
PATH_CHAT = "/v1/chat/completions"
PATH_SERVICES = "/services/"
MODEL_PATHS = (PATH_COMPLETIONS, PATH_CHAT)
MAX_DEADLINE_MS = 24 * 3600 * 1000


class _CompletionBody(msgspec.Struct):
    """The fields of a completion request that routing needs; other fields are not decoded."""

    model: str
    stream: bool = False
    prompt: msgspec.Raw = msgspec.Raw(b"")
    messages: msgspec.Raw = msgspec.Raw(b"")


_completion_decoder = msgspec.json.Decoder(_CompletionBody)


def _invalid(detail: str) -> Result[Any, Problem]:
    return Failure(Problem(ErrorKind.INVALID_REQUEST, detail))


def classify(
    request: IncomingRequest, routes: TenantRoutes, now_s: float
) -> Result[ClassifiedRequest, Problem]:
    """Classify a request by its tenant's routes.

    Args:
        request: The request.
        routes: Routes of the tenant.
        now_s: Monotonic time of its arrival in seconds.
    """
    if request.path.startswith(PATH_SERVICES):
        return _classify_service(request, routes, now_s)
    return _classify_model(request, routes, now_s)


def _classify_model(
    request: IncomingRequest, routes: TenantRoutes, now_s: float
) -> Result[ClassifiedRequest, Problem]:
    parsed = _parse_completion(request)
    if not isinstance(parsed, Success):
        return Failure(parsed.failure())
    body = parsed.unwrap()
    route = routes.models.get(body.model)
    if route is None:
        detail = f"tenant {routes.tenant} has no model {body.model[:MAX_IDENTIFIER_LENGTH]!r}"
        return Failure(Problem(ErrorKind.UNKNOWN_MODEL, detail))
    classified = _classify_common(request, routes, route, now_s)
    if not isinstance(classified, Success):
        return classified
    result = classified.unwrap()
    result.streamed = body.stream
    result.prefix_hash = prefix_hash(route.resource, bytes(body.messages or body.prompt))
    if result.unsafe and result.streamed:
        return _invalid("a request that is unsafe to repeat cannot be streamed")
    return classified


def _parse_completion(request: IncomingRequest) -> Result[_CompletionBody, Problem]:
    if request.method != "POST":
        return _invalid("completions require the method POST")
    decoded = decode_json(request.body, _completion_decoder)
    if not isinstance(decoded, Success):
        return _invalid(f"body: {decoded.failure()}")
    body = decoded.unwrap()
    if not body.messages and not body.prompt:
        return _invalid("one of prompt and messages is required")
    return Success(body)


def _classify_service(
    request: IncomingRequest, routes: TenantRoutes, now_s: float
) -> Result[ClassifiedRequest, Problem]:
    name, _, subpath = request.path[len(PATH_SERVICES) :].partition("/")
    route = routes.services.get(name)
    if route is None:
        detail = f"tenant {routes.tenant} has no service {name[:MAX_IDENTIFIER_LENGTH]!r}"
        return Failure(Problem(ErrorKind.UNKNOWN_SERVICE, detail))
    classified = _classify_common(request, routes, route, now_s)
    if not isinstance(classified, Success):
        return classified
    result = classified.unwrap()
    result.target = RequestTarget.SERVICE
    result.path = f"/{subpath}?{request.query}" if request.query else f"/{subpath}"
    return classified


def _classify_common(
    request: IncomingRequest, routes: TenantRoutes, route: Route, now_s: float
) -> Result[ClassifiedRequest, Problem]:
    traffic_class = route.traffic_class
    deadline_ms = _deadline_ms(request, traffic_class.deadline_ms)
    if deadline_ms is None:
        limit = f"an integer from 1 to {MAX_DEADLINE_MS}"
        return _invalid(f"{HEADER_DEADLINE_MS}: must be {limit}")
    urgency = _urgency(request, traffic_class.urgency)
    if urgency is None:
        known = " or ".join(Urgency)
        return _invalid(f"{HEADER_URGENCY}: must be {known}, and not above the traffic class")
    unsafe = route.unsafe or request.unsafe
    key_problem = _idempotency_key_problem(request.idempotency_key, unsafe)
    if key_problem is not None:
        return Failure(key_problem)
    return Success(
        ClassifiedRequest(
            request_id=request.request_id,
            tenant=routes.tenant,
            target=RequestTarget.MODEL,
            resource=route.resource,
            pool=route.pool,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            body=request.body,
            urgency=urgency,
            target_ms=traffic_class.target_ms,
            deadline_at_s=now_s + deadline_ms / 1000.0,
            arrived_at_s=now_s,
            unsafe=unsafe,
            idempotency_key=request.idempotency_key if unsafe else None,
        )
    )


def _deadline_ms(request: IncomingRequest, class_deadline_ms: int) -> int | None:
    """Return the shorter of the caller's and the class's deadline; None if invalid."""
    text = request.deadline_ms
    if text is None:
        return class_deadline_ms
    if not (text.isascii() and text.isdigit() and len(text) <= 9):
        return None
    requested_ms = int(text)
    if not 1 <= requested_ms <= MAX_DEADLINE_MS:
        return None
    return min(requested_ms, class_deadline_ms)


def _urgency(request: IncomingRequest, class_urgency: Urgency) -> Urgency | None:
    """Return the requested urgency, by default the class's; None if invalid or above the class."""
    if request.urgency is None:
        return class_urgency
    if request.urgency not in tuple(Urgency):
        return None
    requested = Urgency(request.urgency)
    if requested is Urgency.URGENT and class_urgency is Urgency.PATIENT:
        return None
    return requested


def _idempotency_key_problem(key: str | None, unsafe: bool) -> Problem | None:
    if not unsafe:
        return None
    if not key:
        detail = f"a request that is unsafe to repeat needs the header {HEADER_IDEMPOTENCY_KEY}"
        return Problem(ErrorKind.KEY_REQUIRED, detail)
    if len(key) > MAX_IDENTIFIER_LENGTH or not key.isascii() or not key.isprintable():
        limit = f"at most {MAX_IDENTIFIER_LENGTH} printable ASCII characters"
        return Problem(ErrorKind.INVALID_REQUEST, f"{HEADER_IDEMPOTENCY_KEY}: {limit}")
    return None
