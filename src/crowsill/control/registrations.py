"""Replicas that register themselves, and operators who publish routes: any member serves both.

What changes is committed by the group before it is acknowledged, so that an acknowledgement
stands whatever happens next; a heartbeat that changes nothing is acknowledged at once.
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
from crowsill.transport.messages import SubmitCommand, Submitted

BEAT_TIMEOUT_S = 0.9
PUBLISH_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 0.8
RETRY_S = 0.05


@dataclass(frozen=True, slots=True)
class PublishedRoutes:
    """A route document with its version, as it was sent."""

    version: int
    content: bytes


class Registrations:
    """Takes in registrations and routes at one member.

    Attributes:
        listen_port: Port of the listener; alike on all members.
    """

    def __init__(
        self, service: MemberService, machine: StateMachine, codec: RouteCodec, listen_port: int
    ) -> None:
        """Make the service.

        Args:
            service: The member, through which commands reach the leader.
            machine: The replicated state.
            codec: Reads route documents.
            listen_port: Port of the listener that replicas reach.
        """
        self.listen_port = listen_port
        self._service = service
        self._machine = machine
        self._codec = codec
        self._newest_sequence: dict[str, int] = {}
        # Services that the routes name, and the version of the routes they were read from.
        self._named: frozenset[str] = frozenset()
        self._named_by = 0

    async def _commit(self, command: Command, timeout_s: float) -> bool:
        """Have a command committed through the leader; return whether it is known to be."""
        deadline_s = monotonic_s() + timeout_s
        while monotonic_s() < deadline_s:
            try:
                async with asyncio.timeout(deadline_s - monotonic_s()):
                    reply = await self._service.submit_or_forward(SubmitCommand(command))
            except (ConnectionLostError, TimeoutError):
                reply = None
            if isinstance(reply, Submitted):
                return True
            await asyncio.sleep(RETRY_S)
        return False

    async def beat(self, beat: ReplicaHeartbeat) -> Result[str, Problem]:
        """Take in a heartbeat.

        Returns:
            The control address that the replica's next heartbeats are best sent to, or an empty
            text; or a problem, after which the heartbeat may still have been taken in.
        """
        instance_id = beat.instance.instance_id
        directory = self._machine.directory
        known = directory.find_reported(instance_id)
        # Taken in, it would end whoever has its address, and serve nobody. A replica whose service
        # the routes no longer name may still say that it leaves.
        if known is None and not self.is_routed(beat.instance.service):
            return Failure(Problem(ErrorKind.UNKNOWN_SERVICE, "no route names its service"))
        if known is not None and known.service != beat.instance.service:
            return Failure(Problem(ErrorKind.UNKNOWN_SERVICE, "it belongs to another service"))
        self._service.liveness.note_heartbeats([instance_id])
        late = beat.sequence < self._newest_sequence.get(instance_id, -1)
        if not late:
            self._newest_sequence[instance_id] = beat.sequence
        if late or not directory.changes(beat):
            return Success(self._service.leader_host())
        if not await self._commit(RecordHeartbeat(beat), BEAT_TIMEOUT_S):
            return Failure(Problem(ErrorKind.NO_LEADER, "no majority took the heartbeat in"))
        return Success(self._service.leader_host())

    async def leave(self, replica: str) -> Result[None, Problem]:
        """Record that a replica is gone: the life of it that is known here, by its name.

        What is gone is a life, so that the replica may start again under its name.
        """
        lives = self._machine.directory.instances_of(replica) or [replica]
        for instance_id in lives:
            if not await self._commit(RemoveInstance(instance_id), BEAT_TIMEOUT_S):
                return Failure(Problem(ErrorKind.NO_LEADER, "no majority recorded the end"))
            self._newest_sequence.pop(instance_id, None)
            self._service.liveness.forget(instance_id)
        return Success(None)

    def is_routed(self, service: str) -> bool:
        """Whether the routes in force name a service; any may be named while there are none."""
        document = self._machine.routes.current
        if document.version == 0:
            return True
        if self._named_by != document.version:
            decoded = self._codec.decode(decompress_document(document)).value_or(None)
            found = [] if decoded is None else [item.name for item in decoded.services]
            self._named_by, self._named = document.version, frozenset(found)
        return service in self._named

    async def publish(self, content: bytes) -> Result[int, Problem]:
        """Put a route document in force; return its version once it is committed.

        A document whose version is not above the one held is acknowledged and changes nothing.
        """
        decoded = decode_and_check(self._codec, content)
        if not isinstance(decoded, Success):
            log_event(Event.ROUTES_REFUSED, bytes=len(content), detail=decoded.failure())
            return Failure(Problem(ErrorKind.CONFIGURATION_INVALID, decoded.failure()))
        version = decoded.unwrap().version
        command = PublishRoutes(compress_document(version, content))
        if not await self._commit(command, PUBLISH_TIMEOUT_S):
            detail = f"version {version}: no majority confirmed it; it may be in force"
            log_event(Event.ROUTES_REFUSED, version=version, detail=detail)
            return Failure(Problem(ErrorKind.NO_LEADER, detail))
        return Success(version)

    async def current(self) -> Result[PublishedRoutes, Problem]:
        """Return the routes in force, proved to be the newest acknowledged ones."""
        deadline_s = monotonic_s() + READ_TIMEOUT_S
        freshness = await self._service.confirmed_freshness()
        if freshness is None:
            return Failure(Problem(ErrorKind.NO_LEADER, "no leader confirms what is newest"))
        if not await self._service.has_applied(freshness, deadline_s):
            return Failure(Problem(ErrorKind.NO_LEADER, "this member is behind"))
        document = self._machine.routes.current
        return Success(PublishedRoutes(document.version, decompress_document(document)))
