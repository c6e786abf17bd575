"""The callers' interface: completions, plain services, models, health."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Any

import falcon
import falcon.asgi
import msgspec
from returns.result import Result, Success

from crowsill.api.common import (
    BODY_TIMEOUT_S,
    CONTENT_TYPE_JSON,
    answer_problem,
    new_application,
    read_body,
    request_id_of,
)
from crowsill.constants import (
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REPLAYED,
    HEADER_REQUEST_ID,
    HEADER_UNSAFE,
    HEADER_URGENCY,
)
from crowsill.errors import ErrorKind, Problem
from crowsill.pipeline.authenticate import authenticate
from crowsill.pipeline.classify import MODEL_PATHS
from crowsill.pipeline.incoming import IncomingRequest, PipelineResponse, StreamedResponse
from crowsill.pipeline.pipeline import Pipeline

SCOPE_RECEIVE = "crowsill.receive"
SCOPE_DEPARTED = "crowsill.departed"
_TRUE_WORDS = ("1", "true", "yes")
_BODY_CUT = Problem(ErrorKind.INVALID_REQUEST, "the connection ended before the body did")
_BODY_LATE = Problem(ErrorKind.INVALID_REQUEST, "the body did not arrive in time")


class ModelObject(msgspec.Struct, frozen=True):
    """One model in the list of models."""

    id: str
    object: str = "model"
    owned_by: str = "crowsill"


class ModelList(msgspec.Struct, frozen=True):
    """The body of `GET /v1/models`."""

    data: list[ModelObject]
    object: str = "list"


def _incoming(request: falcon.asgi.Request, request_id: str, body: bytes) -> IncomingRequest:
    header = request.get_header
    return IncomingRequest(
        request_id=request_id,
        method=request.method,
        path=request.scope["raw_path"].decode("ascii", "replace"),
        query=request.query_string,
        authorization=header("Authorization") or "",
        content_type=header("Content-Type") or "",
        idempotency_key=header(HEADER_IDEMPOTENCY_KEY),
        deadline_ms=header(HEADER_DEADLINE_MS),
        urgency=header(HEADER_URGENCY),
        unsafe=(header(HEADER_UNSAFE) or "").lower() in _TRUE_WORDS,
        body=body,
    )


class RequestResource:
    """Requests that go through the pipeline."""

    def __init__(self, pipeline: Pipeline, max_body_bytes: int) -> None:
        self._pipeline = pipeline
        self._max_body_bytes = max_body_bytes

    async def on_request(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, **_params: str
    ) -> None:
        """Serve one request of a caller."""
        request_id = request_id_of(request)
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await read_body(request, self._max_body_bytes)
        except TimeoutError:
            answer_problem(response, _BODY_LATE, request_id)
            return
        if not isinstance(body, Success):
            answer_problem(response, body.failure(), request_id)
            return
        if request.scope.get(SCOPE_DEPARTED, False):
            # falcon ends the body where the connection ended: what came may be a part only.
            answer_problem(response, _BODY_CUT, request_id)
            return
        serving = asyncio.create_task(
            self._pipeline.serve(_incoming(request, request_id, body.unwrap()))
        )
        departure = _watch_departure(request, serving)
        try:
            result = await serving
        except asyncio.CancelledError:
            if departure.done():
                # Nobody is there to be answered; the pipeline has given everything back.
                response.complete = True
                return
            raise
        finally:
            if not departure.done():
                departure.cancel()
        if not isinstance(result, Success):
            answer_problem(response, result.failure(), request_id)
            return
        _answer(request, response, result.unwrap(), request_id)

    on_get = on_request
    on_post = on_request
    on_put = on_request
    on_patch = on_request
    on_delete = on_request


def _watch_departure(
    request: falcon.asgi.Request, serving: asyncio.Task[Result[PipelineResponse, Problem]]
) -> asyncio.Task[None]:
    """Cancel a request when its caller leaves; an unsafe run goes on inside the pipeline."""
    receive = request.scope[SCOPE_RECEIVE]

    async def watch() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        serving.cancel()

    return asyncio.create_task(watch())


class DepartureAware:
    """ASGI layer that lets resources see when their caller leaves.

    falcon gives no access to the connection's events once the body has been read. A stream is
    closed as soon as sending finds that the caller is gone.
    """

    def __init__(self, application: Any) -> None:  # noqa: ANN401
        self._application = application

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:  # noqa: ANN401
        """Serve one ASGI scope."""

        async def watched_receive() -> Any:  # noqa: ANN401
            message = await receive()
            if message["type"] == "http.disconnect":
                scope[SCOPE_DEPARTED] = True
            return message

        scope[SCOPE_RECEIVE] = watched_receive
        await self._application(scope, watched_receive, send)


async def _until_departure(
    request: falcon.asgi.Request, chunks: AsyncGenerator[bytes, None]
) -> AsyncIterator[bytes]:
    """Yield chunks until the caller leaves; then the stream is closed at its source.

    Sending to a caller that has left does nothing and reports nothing, so the connection's own
    events have to be watched.
    """
    receive = request.scope[SCOPE_RECEIVE]
    departure = asyncio.create_task(receive())
    try:
        async for chunk in chunks:
            if departure.done():
                return
            yield chunk
    finally:
        departure.cancel()
        await chunks.aclose()


def _answer(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    answer: PipelineResponse,
    request_id: str,
) -> None:
    response.status = answer.status
    response.content_type = answer.content_type
    response.set_header(HEADER_REQUEST_ID, request_id)
    if isinstance(answer, StreamedResponse):
        response.stream = _until_departure(request, answer.chunks)
        return
    response.data = answer.body
    if answer.replayed:
        response.set_header(HEADER_REPLAYED, "true")


class ModelsResource:
    """`GET /v1/models`: the models and adapters the tenant may use."""

    def __init__(self, pipeline: Pipeline) -> None:
        self._pipeline = pipeline

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """List the tenant's models."""
        request_id = request_id_of(request)
        table = self._pipeline.table
        if table is None:
            answer_problem(response, Problem(ErrorKind.NOT_READY, "starting"), request_id)
            return
        authenticated = authenticate(_incoming(request, request_id, b""), table)
        if not isinstance(authenticated, Success):
            answer_problem(response, authenticated.failure(), request_id)
            return
        names = sorted(authenticated.unwrap().models)
        response.content_type = CONTENT_TYPE_JSON
        response.data = msgspec.json.encode(ModelList([ModelObject(name) for name in names]))


class ReadinessResource:
    """`GET /readyz`: whether the balancer should send requests here."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Answer 200 when ready, else by the error table."""
        if not self._is_ready():
            problem = Problem(ErrorKind.NOT_READY, "starting, stopping or cut off")
            answer_problem(response, problem, request_id_of(request))
            return
        response.content_type = CONTENT_TYPE_JSON
        response.data = b'{"status":"ready"}'


def caller_application(
    pipeline: Pipeline, is_ready: Callable[[], bool], max_body_bytes: int
) -> Any:  # noqa: ANN401
    """Return the ASGI application of an entry.

    Args:
        pipeline: Serves requests.
        is_ready: Tells readiness.
        max_body_bytes: Largest accepted body.
    """
    application = new_application()
    resource = RequestResource(pipeline, max_body_bytes)
    for path in MODEL_PATHS:
        application.add_route(path, resource)
    application.add_route("/services/{service}", resource)
    application.add_route("/services/{service}/{rest:path}", resource)
    application.add_route("/v1/models", ModelsResource(pipeline))
    application.add_route("/readyz", ReadinessResource(is_ready))
    return DepartureAware(application)
