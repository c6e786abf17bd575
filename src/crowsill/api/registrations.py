"""The control members' interface for replicas that register themselves and operators of routes."""

from typing import Any

import falcon
import falcon.asgi
import msgspec
from returns.result import Success

from crowsill.api.common import (
    CONTENT_TYPE_JSON,
    answer_problem,
    new_application,
    read_body,
    request_id_of,
)
from crowsill.constants import MAX_BODY_BYTES
from crowsill.control.registrations import Registrations
from crowsill.errors import ErrorKind, Problem
from crowsill.model.instances import ReplicaHeartbeat, instance_fault


class HeartbeatAnswer(msgspec.Struct, frozen=True):
    """The answer to a heartbeat.

    Attributes:
        leader: IP number of the member that heartbeats are best sent to, or an empty text.
    """

    leader: str


class PublishAnswer(msgspec.Struct, frozen=True):
    """The answer to published routes: the version that was acknowledged."""

    version: int


class _Resource:
    def __init__(self, registrations: Registrations) -> None:
        self._registrations = registrations


class RoutesResource(_Resource):
    """`/v1/routes`: the route configuration."""

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Put a route configuration in force."""
        body = await read_body(request, MAX_BODY_BYTES)
        if not isinstance(body, Success):
            answer_problem(response, body.failure(), request_id_of(request))
            return
        published = await self._registrations.publish_routes(body.unwrap())
        if not isinstance(published, Success):
            answer_problem(response, published.failure(), request_id_of(request))
            return
        response.content_type = CONTENT_TYPE_JSON
        response.data = msgspec.json.encode(PublishAnswer(published.unwrap()))

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Return the routes in force as they were sent."""
        current = await self._registrations.current_routes()
        if not isinstance(current, Success):
            answer_problem(response, current.failure(), request_id_of(request))
            return
        routes = current.unwrap()
        if routes.version == 0:
            problem = Problem(ErrorKind.UNKNOWN_ROUTE, "no routes were published yet")
            answer_problem(response, problem, request_id_of(request))
            return
        response.content_type = CONTENT_TYPE_JSON
        response.data = routes.content


class InstanceResource(_Resource):
    """`/v1/instances/ID`: heartbeats of one replica."""

    async def on_put(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, instance_id: str
    ) -> None:
        """Take in a heartbeat: the JSON of a `ReplicaHeartbeat`."""
        body = await read_body(request, MAX_BODY_BYTES)
        if not isinstance(body, Success):
            answer_problem(response, body.failure(), request_id_of(request))
            return
        try:
            beat = msgspec.json.decode(body.unwrap(), type=ReplicaHeartbeat)
        except msgspec.DecodeError as error:
            problem = Problem(ErrorKind.INVALID_REQUEST, f"heartbeat: {error}")
            answer_problem(response, problem, request_id_of(request))
            return
        if beat.instance.instance_id != instance_id:
            problem = Problem(ErrorKind.INVALID_REQUEST, "the path names another replica")
            answer_problem(response, problem, request_id_of(request))
            return
        fault = instance_fault(beat.instance)
        if fault is not None:
            problem = Problem(ErrorKind.INVALID_REQUEST, f"heartbeat: {fault}")
            answer_problem(response, problem, request_id_of(request))
            return
        taken = await self._registrations.record_heartbeat(beat)
        if not isinstance(taken, Success):
            answer_problem(response, taken.failure(), request_id_of(request))
            return
        response.content_type = CONTENT_TYPE_JSON
        response.data = msgspec.json.encode(HeartbeatAnswer(taken.unwrap()))

    async def on_delete(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, instance_id: str
    ) -> None:
        """Record that the replica is gone."""
        left = await self._registrations.deregister(instance_id)
        if not isinstance(left, Success):
            answer_problem(response, left.failure(), request_id_of(request))


def registration_application(registrations: Registrations) -> Any:  # noqa: ANN401
    """Make the ASGI application."""
    application = new_application()
    application.add_route("/v1/routes", RoutesResource(registrations))
    application.add_route("/v1/instances/{instance_id}", InstanceResource(registrations))
    return application
