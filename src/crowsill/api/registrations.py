"""The HTTP interface of a control member for route documents and for replicas that register."""

from typing import Any

import falcon
import falcon.asgi
import msgspec
from returns.result import Success

from crowsill.api.common import (
    CONTENT_TYPE_JSON,
    new_application,
    read_body,
    request_id_of,
    write_problem,
)
from crowsill.constants import MAX_BODY_BYTES
from crowsill.control.registrations import Registrations
from crowsill.errors import ErrorKind, Problem
from crowsill.json_input import decode_json
from crowsill.model.instances import ReplicaHeartbeat, instance_fault

_heartbeat_decoder = msgspec.json.Decoder(ReplicaHeartbeat)


class HeartbeatResponse(msgspec.Struct, frozen=True):
    """The response to a heartbeat.

    Attributes:
        leader: IP address of the member to send further heartbeats to, or an empty string.
    """

    leader: str


class PublishResponse(msgspec.Struct, frozen=True):
    """The response to published routes: the acknowledged version."""

    version: int


class _Resource:
    def __init__(self, registrations: Registrations) -> None:
        self._registrations = registrations


class RoutesResource(_Resource):
    """`/v1/routes`: the route configuration."""

    async def on_put(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Publish a route configuration."""
        body = await read_body(request, MAX_BODY_BYTES)
        if not isinstance(body, Success):
            write_problem(response, body.failure(), request_id_of(request))
            return
        published = await self._registrations.publish_routes(body.unwrap())
        if not isinstance(published, Success):
            write_problem(response, published.failure(), request_id_of(request))
            return
        response.content_type = CONTENT_TYPE_JSON
        response.data = msgspec.json.encode(PublishResponse(published.unwrap()))

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Return the active route configuration as it was sent."""
        current = await self._registrations.current_routes()
        if not isinstance(current, Success):
            write_problem(response, current.failure(), request_id_of(request))
            return
        routes = current.unwrap()
        if routes.version == 0:
            problem = Problem(ErrorKind.UNKNOWN_ROUTE, "no routes have been published yet")
            write_problem(response, problem, request_id_of(request))
            return
        response.content_type = CONTENT_TYPE_JSON
        response.data = routes.content


class InstanceResource(_Resource):
    """`/v1/instances/ID`: heartbeats and deregistration of one replica."""

    async def on_put(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, instance_id: str
    ) -> None:
        """Record a heartbeat; the body is the JSON of a `ReplicaHeartbeat`."""
        body = await read_body(request, MAX_BODY_BYTES)
        if not isinstance(body, Success):
            write_problem(response, body.failure(), request_id_of(request))
            return
        decoded = decode_json(body.unwrap(), _heartbeat_decoder)
        if not isinstance(decoded, Success):
            problem = Problem(ErrorKind.INVALID_REQUEST, f"heartbeat: {decoded.failure()}")
            write_problem(response, problem, request_id_of(request))
            return
        heartbeat = decoded.unwrap()
        if heartbeat.instance.instance_id != instance_id:
            problem = Problem(
                ErrorKind.INVALID_REQUEST, "the instance id differs from that in the path"
            )
            write_problem(response, problem, request_id_of(request))
            return
        fault = instance_fault(heartbeat.instance)
        if fault is not None:
            problem = Problem(ErrorKind.INVALID_REQUEST, f"heartbeat: {fault}")
            write_problem(response, problem, request_id_of(request))
            return
        recorded = await self._registrations.record_heartbeat(heartbeat)
        if not isinstance(recorded, Success):
            write_problem(response, recorded.failure(), request_id_of(request))
            return
        response.content_type = CONTENT_TYPE_JSON
        response.data = msgspec.json.encode(HeartbeatResponse(recorded.unwrap()))

    async def on_delete(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, instance_id: str
    ) -> None:
        """Deregister the replica."""
        deregistered = await self._registrations.deregister(instance_id)
        if not isinstance(deregistered, Success):
            write_problem(response, deregistered.failure(), request_id_of(request))


def registration_application(registrations: Registrations) -> Any:  # noqa: ANN401
    """Return the ASGI application for route documents and registrations."""
    application = new_application()
    application.add_route("/v1/routes", RoutesResource(registrations))
    application.add_route("/v1/instances/{instance_id}", InstanceResource(registrations))
    return application
