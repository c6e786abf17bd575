"""Registrations of replicas and published routes; any member accepts both.

A change is committed by the group before it is acknowledged, so an acknowledged change is never
lost. A heartbeat that changes nothing is acknowledged at once.
"""

import asyncio
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from crowsill.clock import monotonic_s
from crowsill.control.service import MemberService
from crowsill.errors import ErrorKind, Problem
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.instances import ReplicaHeartbeat
from crowsill.model.route_codec import (
    RouteCodec,
    compress_document,
    decode_and_check,
    decompress_document,
)
from crowsill.state.commands import Command, PublishRoutes, RecordHeartbeat, RemoveInstance
from crowsill.state.machine import StateMachine
from crowsill.transport.connection import ConnectionLostError
from crowsill.transport.messages import CommandRejected, SubmitCommand, Submitted

HEARTBEAT_TIMEOUT_S = 0.9
PUBLISH_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 0.8
RETRY_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class PublishedRoutes:
    """A route document as it was published, with its version."""

    version: int
    content: bytes


class Registrations:
    """Accepts registrations and routes at one member.

    Attributes:
        listen_port: Port of the listener; the same on all members.
    """

    def __init__(
        self, service: MemberService, machine: StateMachine, codec: RouteCodec, listen_port: int
    ) -> None:
        """Make the service.

        Args:
            service: The member, through which commands reach the leader.
            machine: The replicated state.
            codec: Decodes route documents.
            listen_port: Port of the listener that replicas use.
        """
        self.listen_port = listen_port
        self._service = service
        self._machine = machine
        self._codec = codec
        self._newest_sequence: dict[str, int] = {}
        # Services in the active routes, and the version of those routes.
        self._routed_services: frozenset[str] = frozenset()
        self._routed_services_version = 0

    async def _commit(self, command: Command, timeout_s: float) -> Result[None, Problem]:
        """Commit a command through the leader.

        Returns:
            A problem if the command is invalid, or if its commit is not confirmed in time.
        """
        deadline_at_s = monotonic_s() + timeout_s
        while monotonic_s() < deadline_at_s:
            try:
                async with asyncio.timeout(deadline_at_s - monotonic_s()):
                    reply = await self._service.submit_or_forward(SubmitCommand(command))
            except (ConnectionLostError, TimeoutError):
                reply = None
            if isinstance(reply, Submitted):
                return Success(None)
            if isinstance(reply, CommandRejected):
                return Failure(Problem(ErrorKind.INVALID_REQUEST, reply.detail))
            await asyncio.sleep(RETRY_INTERVAL_S)
        return Failure(Problem(ErrorKind.NO_LEADER, "no majority confirmed it; it may be recorded"))

    async def record_heartbeat(self, heartbeat: ReplicaHeartbeat) -> Result[str, Problem]:
        """Record a heartbeat.

        Returns:
            The control address to which the replica should send its next heartbeats, or an empty
            string; or a problem, after which the heartbeat may still be recorded.
        """
        instance_id = heartbeat.instance.instance_id
        directory = self._machine.directory
        known = directory.find_reported(instance_id)
        # If it were recorded, a replica without a route would remove the replica that now has its
        # address, and would serve no request. A known replica may still report that it drains after
        # its service was removed from the routes.
        if known is None and not self.is_routed(heartbeat.instance.service):
            return Failure(Problem(ErrorKind.UNKNOWN_SERVICE, "no route names its service"))
        if known is not None and known.service != heartbeat.instance.service:
            return Failure(Problem(ErrorKind.UNKNOWN_SERVICE, "it belongs to another service"))
        self._service.liveness.note_heartbeats([instance_id])
        is_late = heartbeat.sequence < self._newest_sequence.get(instance_id, -1)
        if not is_late:
            self._newest_sequence[instance_id] = heartbeat.sequence
        if is_late or not directory.would_change(heartbeat):
            return Success(self._service.leader_host())
        recorded = await self._commit(RecordHeartbeat(heartbeat), HEARTBEAT_TIMEOUT_S)
        return recorded.map(lambda _: self._service.leader_host())

    async def deregister(self, replica: str) -> Result[None, Problem]:
        """Record that a replica is gone, by its name: the incarnations known to this member.

        Only these incarnations are removed, so the replica may start again under its name. A member
        that knows none may be behind: it catches up with the leader first, or fails.
        """
        directory = self._machine.directory
        if not directory.instances_of(replica):
            confirmed = await self._catch_up_with_any_leader()
            if not isinstance(confirmed, Success):
                return confirmed
        instance_ids = directory.instances_of(replica) or [replica]
        for instance_id in instance_ids:
            removed = await self._commit(RemoveInstance(instance_id), HEARTBEAT_TIMEOUT_S)
            if not isinstance(removed, Success):
                return removed
            self._newest_sequence.pop(instance_id, None)
            self._service.liveness.forget(instance_id)
        return Success(None)

    def is_routed(self, service: str) -> bool:
        """Whether the active routes contain a service; always True before the first routes."""
        document = self._machine.routes.current
        if document.version == 0:
            return True
        if self._routed_services_version != document.version:
            decoded = self._codec.decode(decompress_document(document)).value_or(None)
            found = [] if decoded is None else [item.name for item in decoded.services]
            self._routed_services_version, self._routed_services = (
                document.version,
                frozenset(found),
            )
        return service in self._routed_services

    async def publish_routes(self, content: bytes) -> Result[int, Problem]:
        """Activate a route document; return its version once it is committed.

        A document whose version is not above the current one is acknowledged and changes nothing.
        """
        decoded = decode_and_check(self._codec, content)
        if not isinstance(decoded, Success):
            log_event(Event.ROUTES_REFUSED, bytes=len(content), detail=decoded.failure())
            return Failure(Problem(ErrorKind.CONFIGURATION_INVALID, decoded.failure()))
        version = decoded.unwrap().version
        command = PublishRoutes(compress_document(version, content))
        published = await self._commit(command, PUBLISH_TIMEOUT_S)
        if not isinstance(published, Success):
            problem = published.failure()
            log_event(Event.ROUTES_REFUSED, version=version, detail=problem.detail)
            return Failure(Problem(problem.kind, f"version {version}: {problem.detail}"))
        return Success(version)

    async def current_routes(self) -> Result[PublishedRoutes, Problem]:
        """Return the active routes, confirmed to be the latest acknowledged ones."""
        confirmed = await self._catch_up(monotonic_s() + READ_TIMEOUT_S)
        if not isinstance(confirmed, Success):
            return Failure(confirmed.failure())
        document = self._machine.routes.current
        return Success(PublishedRoutes(document.version, decompress_document(document)))

    async def _catch_up_with_any_leader(self) -> Result[None, Problem]:
        """Wait as `_catch_up` does, also while members elect a leader."""
        deadline_at_s = monotonic_s() + READ_TIMEOUT_S
        confirmed = await self._catch_up(deadline_at_s)
        while not isinstance(confirmed, Success) and monotonic_s() < deadline_at_s:
            await asyncio.sleep(RETRY_INTERVAL_S)
            confirmed = await self._catch_up(deadline_at_s)
        return confirmed

    async def _catch_up(self, deadline_at_s: float) -> Result[None, Problem]:
        """Wait until this member has applied all that was acknowledged before the call.

        Args:
            deadline_at_s: Monotonic time in seconds at which the wait ends.
        """
        freshness = await self._service.confirmed_freshness()
        if freshness is None:
            return Failure(Problem(ErrorKind.NO_LEADER, "no leader confirms the latest version"))
        if not await self._service.has_applied(freshness, deadline_at_s):
            return Failure(Problem(ErrorKind.NO_LEADER, "this member is behind"))
        return Success(None)
