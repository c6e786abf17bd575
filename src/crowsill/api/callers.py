"""The HTTP interface for callers: completions, plain services, models and readiness."""

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
    new_application,
    read_body,
    request_id_of,
    write_problem,
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
SCOPE_DISCONNECTED = "crowsill.departed"
_TRUE_VALUES = ("1", "true", "yes")
_BODY_INCOMPLETE = Problem(ErrorKind.INVALID_REQUEST, "the connection ended before the body did")
_BODY_TIMED_OUT = Problem(ErrorKind.INVALID_REQUEST, "the body did not arrive in time")


class ModelObject(msgspec.Struct, frozen=True):
    """One model in the response to `GET /v1/models`."""

    id: str
    object: str = "model"
    owned_by: str = "crowsill"


class ModelList(msgspec.Struct, frozen=True):
    """The response to `GET /v1/models`."""

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
        unsafe=(header(HEADER_UNSAFE) or "").lower() in _TRUE_VALUES,
        body=body,
    )


class RequestResource:
    """Resource of all requests that the pipeline serves."""

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
            write_problem(response, _BODY_TIMED_OUT, request_id)
            return
        if not isinstance(body, Success):
            write_problem(response, body.failure(), request_id)
            return
        if request.scope.get(SCOPE_DISCONNECTED, False):
            # falcon ends the body when the connection ends, so it may be incomplete.
            write_problem(response, _BODY_INCOMPLETE, request_id)
            return
        serve_task = asyncio.create_task(
            self._pipeline.serve(_incoming(request, request_id, body.unwrap()))
        )
        disconnect_watch = _watch_disconnect(request, serve_task)
        try:
            result = await serve_task
        except asyncio.CancelledError:
            if disconnect_watch.done():
                # No caller is left to respond to; the pipeline has released the request's slot.
                response.complete = True
                return
            raise
        finally:
            if not disconnect_watch.done():
                disconnect_watch.cancel()
        if not isinstance(result, Success):
            write_problem(response, result.failure(), request_id)
            return
        _write_response(request, response, result.unwrap(), request_id)

    on_get = on_request
    on_post = on_request
    on_put = on_request
    on_patch = on_request
    on_delete = on_request


def _watch_disconnect(
    request: falcon.asgi.Request, serve_task: asyncio.Task[Result[PipelineResponse, Problem]]
) -> asyncio.Task[None]:
    """Cancel a request when its caller disconnects; the pipeline still completes an unsafe run."""
    receive = request.scope[SCOPE_RECEIVE]

    async def watch() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        serve_task.cancel()

    return asyncio.create_task(watch())


class DisconnectMonitor:
    """ASGI middleware that lets resources notice when their caller disconnects.

    falcon gives no access to the events of a connection once the body has been read. With them, a
    waiting request is cancelled and a stream is closed when the caller disconnects.
    """

    def __init__(self, application: Any) -> None:  # noqa: ANN401
        self._application = application

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:  # noqa: ANN401
        """Serve one ASGI scope."""

        async def watched_receive() -> Any:  # noqa: ANN401
            message = await receive()
            if message["type"] == "http.disconnect":
                scope[SCOPE_DISCONNECTED] = True
            return message

        scope[SCOPE_RECEIVE] = watched_receive
        await self._application(scope, watched_receive, send)


async def _until_disconnect(
    request: falcon.asgi.Request, chunks: AsyncGenerator[bytes, None]
) -> AsyncIterator[bytes]:
    """Yield chunks until the caller disconnects, then close their source.

    Sending to a caller that has disconnected raises no error, so the events of the connection have
    to be watched.
    """
    receive = request.scope[SCOPE_RECEIVE]
    disconnect_watch = asyncio.create_task(receive())
    try:
        async for chunk in chunks:
            if disconnect_watch.done():
                return
            yield chunk
    finally:
        disconnect_watch.cancel()
        await chunks.aclose()


def _write_response(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    served: PipelineResponse,
    request_id: str,
) -> None:
    response.status = served.status
    response.content_type = served.content_type
    response.set_header(HEADER_REQUEST_ID, request_id)
    if isinstance(served, StreamedResponse):
        response.stream = _until_disconnect(request, served.chunks)
        return
    response.data = served.body
    if served.replayed:
        response.set_header(HEADER_REPLAYED, "true")


class ModelsResource:
    """`GET /v1/models`: the models and adapters that the tenant may use."""

    def __init__(self, pipeline: Pipeline) -> None:
        self._pipeline = pipeline

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """List the tenant's models."""
        request_id = request_id_of(request)
        table = self._pipeline.table
        if table is None:
            write_problem(
                response,
                Problem(ErrorKind.NOT_READY, "this entry has not received a configuration yet"),
                request_id,
            )
            return
        authenticated = authenticate(_incoming(request, request_id, b""), table)
        if not isinstance(authenticated, Success):
            write_problem(response, authenticated.failure(), request_id)
            return
        names = sorted(authenticated.unwrap().models)
        response.content_type = CONTENT_TYPE_JSON
        response.data = msgspec.json.encode(ModelList([ModelObject(name) for name in names]))


class ReadinessResource:
    """`GET /readyz`: whether the load balancer should send requests to this entry."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Respond with 200 if the entry is ready, else with `not_ready`."""
        if not self._is_ready():
            problem = Problem(
                ErrorKind.NOT_READY, "the entry is starting, stopping or not confirmed as current"
            )
            write_problem(response, problem, request_id_of(request))
            return
        response.content_type = CONTENT_TYPE_JSON
        response.data = b'{"status":"ready"}'


def caller_application(
    pipeline: Pipeline, is_ready: Callable[[], bool], max_body_bytes: int
) -> Any:  # noqa: ANN401
    """Return the ASGI application of an entry.

    Args:
        pipeline: Serves requests.
        is_ready: Returns whether the entry is ready.
        max_body_bytes: Maximum size of a request's body.
    """
    application = new_application()
    resource = RequestResource(pipeline, max_body_bytes)
    for path in MODEL_PATHS:
        application.add_route(path, resource)
    application.add_route("/services/{service}", resource)
    application.add_route("/services/{service}/{rest:path}", resource)
    application.add_route("/v1/models", ModelsResource(pipeline))
    application.add_route("/readyz", ReadinessResource(is_ready))
    return DisconnectMonitor(application)
