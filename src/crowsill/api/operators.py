"""The HTTP interface of a control member for operators."""

import hmac
from typing import Any

import falcon
import falcon.asgi
import msgspec
from returns.result import Failure, Result, Success

from crowsill.api.common import (
    CONTENT_TYPE_JSON,
    new_application,
    read_body,
    request_id_of,
    write_problem,
)
from crowsill.constants import MAX_BODY_BYTES
from crowsill.control.operations import LiftRequest, OperatorService
from crowsill.errors import ErrorKind, Problem
from crowsill.json_input import decode_json
from crowsill.model.configuration import ConfigurationChange, ConfigurationContent
from crowsill.tokens import bearer_digest
from crowsill.transport.membership_messages import MemberAction, MembersRequest


class OperatorAuthentication:
    """Middleware that admits only operators to paths below `/v1/`."""

    def __init__(self, token_sha256: list[str]) -> None:
        """Create the middleware.

        Args:
            token_sha256: SHA-256 of each operator token, as hex.
        """
        self._digests = [bytes.fromhex(digest) for digest in token_sha256]

    async def process_request(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Reject requests without a known token."""
        if not request.path.startswith("/v1/") or self._is_known(request):
            return
        problem = Problem(ErrorKind.UNAUTHENTICATED, "an operator token is required")
        write_problem(response, problem, request_id_of(request))
        response.complete = True

    def _is_known(self, request: falcon.asgi.Request) -> bool:
        digest = bearer_digest(request.get_header("Authorization") or "")
        if digest is None:
            return False
        return any([hmac.compare_digest(digest, known_digest) for known_digest in self._digests])


def _write_json(response: falcon.asgi.Response, body: msgspec.Struct | list[Any]) -> None:
    response.content_type = CONTENT_TYPE_JSON
    response.data = msgspec.json.encode(body)


class _Resource:
    def __init__(self, operations: OperatorService) -> None:
        self._operations = operations


class StatusResource(_Resource):
    """`GET /v1/status`."""

    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Return the status of the deployment."""
        _write_json(response, await self._operations.status())


class ConfigurationResource(_Resource):
    """`GET /v1/configuration`."""

    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Return the configuration that this member has applied."""
        _write_json(response, self._operations.configuration)


class HistoryResource(_Resource):
    """`GET /v1/history`."""

    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Return accepted changes, oldest first."""
        _write_json(response, self._operations.history())


async def _decode(
    request: falcon.asgi.Request, decoder: msgspec.json.Decoder[Any]
) -> Result[Any, Problem]:
    body = await read_body(request, MAX_BODY_BYTES)
    if not isinstance(body, Success):
        return body
    decoded = decode_json(body.unwrap(), decoder)
    return decoded.alt(lambda fault: Problem(ErrorKind.INVALID_REQUEST, fault))


class PlanResource(_Resource):
    """`POST /v1/plan`."""

    _decoder = msgspec.json.Decoder(ConfigurationContent)

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Return the effect of a change without applying it."""
        decoded = await _decode(request, self._decoder)
        if not isinstance(decoded, Success):
            write_problem(response, decoded.failure(), request_id_of(request))
            return
        _write_json(response, self._operations.plan(decoded.unwrap()))


class ChangesResource(_Resource):
    """`POST /v1/changes`."""

    _decoder = msgspec.json.Decoder(ConfigurationChange)

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Submit a change of the configuration."""
        decoded = await _decode(request, self._decoder)
        if isinstance(decoded, Success) and not decoded.unwrap().change_id:
            decoded = Failure(Problem(ErrorKind.INVALID_REQUEST, "change_id must not be empty"))
        if not isinstance(decoded, Success):
            write_problem(response, decoded.failure(), request_id_of(request))
            return
        result = await self._operations.submit(decoded.unwrap())
        if not isinstance(result, Success):
            write_problem(response, result.failure(), request_id_of(request))
            return
        _write_json(response, result.unwrap())


class MembersResource(_Resource):
    """`GET` and `POST /v1/members`."""

    _decoder = msgspec.json.Decoder(MembersRequest)

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Return the members of the control group."""
        await self._handle(MembersRequest(MemberAction.LIST), request, response)

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Start a change of the control group; a resend has no further effect."""
        decoded = await _decode(request, self._decoder)
        if not isinstance(decoded, Success):
            write_problem(response, decoded.failure(), request_id_of(request))
            return
        await self._handle(decoded.unwrap(), request, response)

    async def _handle(
        self,
        members_request: MembersRequest,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
    ) -> None:
        result = await self._operations.members(members_request)
        if not isinstance(result, Success):
            write_problem(response, result.failure(), request_id_of(request))
            return
        _write_json(response, result.unwrap())


class ReplicasResource(_Resource):
    """`GET /v1/replicas`."""

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Return registered replicas, and the gateways that exclude them."""
        result = self._operations.registered_replicas()
        if not isinstance(result, Success):
            write_problem(response, result.failure(), request_id_of(request))
            return
        _write_json(response, result.unwrap())


class QuarantineResource(_Resource):
    """`GET /v1/quarantine`."""

    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Return the requests during which replicas crashed."""
        _write_json(response, self._operations.quarantine())


class LiftResource(_Resource):
    """`POST /v1/quarantine/lift`."""

    _decoder = msgspec.json.Decoder(LiftRequest)

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """End the quarantine of one request, so that gateways send it to replicas again."""
        result = await _decode(request, self._decoder)
        if isinstance(result, Success):
            result = await self._operations.lift(result.unwrap())
        if not isinstance(result, Success):
            write_problem(response, result.failure(), request_id_of(request))
            return
        _write_json(response, result.unwrap())


def operator_application(operations: OperatorService, token_sha256: list[str]) -> Any:  # noqa: ANN401
    """Return the ASGI application for operators.

    Args:
        operations: Handles the requests of operators.
        token_sha256: SHA-256 of each operator token, as hex.
    """
    application = new_application()
    application.add_middleware(OperatorAuthentication(token_sha256))
    application.add_route("/v1/status", StatusResource(operations))
    application.add_route("/v1/configuration", ConfigurationResource(operations))
    application.add_route("/v1/history", HistoryResource(operations))
    application.add_route("/v1/plan", PlanResource(operations))
    application.add_route("/v1/changes", ChangesResource(operations))
    application.add_route("/v1/members", MembersResource(operations))
    application.add_route("/v1/replicas", ReplicasResource(operations))
    application.add_route("/v1/quarantine", QuarantineResource(operations))
    application.add_route("/v1/quarantine/lift", LiftResource(operations))
    return application
