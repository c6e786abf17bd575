"""A control process without a disk: it stores nothing, never votes, and points callers at members.

It runs where an operator starts the control role on machines of which only some have a disk.
Callers get `307` to the leader; processes that ask it for the leader are told where that is.
"""

import asyncio
import secrets
from random import Random
from typing import Any

import falcon
import falcon.asgi

from crowsill.api.common import answer_problem, new_application, request_id_of
from crowsill.api.server import HttpServer
from crowsill.errors import ErrorKind, Problem
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.settings import Address, ControlSettings, HttpListener, Settings
from crowsill.transport.connection import Connection, ConnectionServer
from crowsill.transport.leader_client import parse_address
from crowsill.transport.messages import (
    BlankCheck,
    Body,
    MemberAction,
    MemberBlank,
    MembersReport,
    MembersRequest,
    NotLeader,
)
from crowsill.transport.question import ask_leader
from crowsill.transport.stream import LocalIdentity

# While no leader is known it is looked for this often; a start takes about a second.
SEARCH_S = 0.2
# A known leader is asked again this often. Any member passes calls on, so that an old answer costs
# a caller one more step at most.
REFRESH_S = 2.0
REPLY_TIMEOUT_S = 0.8


class LeaderPointer:
    """Knows where the leader is.

    Attributes:
        seeds: Members to ask first; may be replaced at any time.
        leader: Address of the leader for other crowsill processes, or None.
    """

    def __init__(self, local: LocalIdentity, seeds: list[Address], random: Random) -> None:
        """Make a pointer that knows nothing yet.

        Args:
            local: Identity for the handshake.
            seeds: Members to ask.
            random: Source of the order.
        """
        self.seeds = seeds
        self.leader: Address | None = None
        self._local = local
        self._random = random
        self._members: list[Address] = []

    async def run(self) -> None:
        """Look for the leader until cancelled."""
        while True:
            known = self.leader
            self.leader = await self._find()
            if self.leader is not None and self.leader != known:
                log_event(Event.LEADER_FOUND, leader=f"{self.leader.host}:{self.leader.port}")
            await asyncio.sleep(SEARCH_S if self.leader is None else REFRESH_S)

    async def _find(self) -> Address | None:
        others = list(dict.fromkeys([*self._members, *self.seeds]))
        self._random.shuffle(others)
        first = [] if self.leader is None else [self.leader]
        for target in dict.fromkeys([*first, *others]):
            found = await self._ask(target)
            if found is not None:
                return found
        return None

    async def _ask(self, target: Address) -> Address | None:
        """Ask one process, and the one it names; return the leader's address."""
        question = MembersRequest(MemberAction.LIST)
        leader, reply = await ask_leader(target, question, self._local, REPLY_TIMEOUT_S)
        if not isinstance(reply, MembersReport):
            return None
        self._members = [parse_address(member.address) for member in reply.members]
        return leader


class RedirectResource:
    """Every path: `307` to the leader, or `503` while none is known."""

    def __init__(self, pointer: LeaderPointer, port: int) -> None:
        """Make the resource.

        Args:
            pointer: Knows the leader.
            port: Port of the same interface at every member.
        """
        self._pointer = pointer
        self._port = port

    async def __call__(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, **_params: str
    ) -> None:
        """Answer a call."""
        leader = self._pointer.leader
        if leader is None:
            problem = Problem(ErrorKind.NO_LEADER, "no leader of the control group is known")
            answer_problem(response, problem, request_id_of(request))
            return
        response.status = falcon.HTTP_307
        response.location = f"http://{leader.host}:{self._port}{request.relative_uri}"


def redirect_application(pointer: LeaderPointer, port: int) -> Any:  # noqa: ANN401
    """Make the ASGI application; `port` is that of the same interface at every member."""
    application = new_application()
    application.add_sink(RedirectResource(pointer, port), "/")
    return application


class ControlRedirector:
    """The control role of a process without a data folder."""

    def __init__(self, control: ControlSettings, local: LocalIdentity, random: Random) -> None:
        """Wire the process.

        Args:
            control: Its control table.
            local: Its identity.
            random: Source of the order in which members are asked.
        """
        self._control = control
        self._pointer = LeaderPointer(local, control.seeds, random)
        self._inner = ConnectionServer(
            local, self._on_request, lambda *_push: None, lambda _connection: None
        )
        self._listeners: list[HttpServer] = []
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the listeners and look for the leader."""
        listen = self._control.listen
        await self._inner.start(listen.host, listen.port)
        for listener in (self._control.registrations, self._control.operators):
            if listener is not None:
                await self._listen(listener)
        self._task = asyncio.create_task(self._pointer.run())

    async def _listen(self, listener: HttpListener) -> None:
        server = HttpServer(redirect_application(self._pointer, listener.port), listener)
        await server.start()
        self._listeners.append(server)

    def use_seeds(self, control: ControlSettings) -> None:
        """Take over seeds that have changed."""
        self._pointer.seeds = control.seeds

    async def _on_request(self, _connection: Connection, body: Body) -> Body:
        if isinstance(body, BlankCheck):
            return MemberBlank(identity="", is_blank=True, may_vote=False)
        leader = self._pointer.leader
        return NotLeader(None if leader is None else f"{leader.host}:{leader.port}")

    async def drain(self) -> None:
        """Nothing is to be handed over."""

    async def failed(self) -> BaseException | None:
        """Wait until the search for the leader ends by itself; return why."""
        if self._task is None:
            return None
        await asyncio.wait([self._task])
        return None if self._task.cancelled() else self._task.exception()

    async def stop(self) -> None:
        """Release everything."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._inner.stop()
        for server in self._listeners:
            await server.stop()


def make_redirector(settings: Settings, control: ControlSettings, key: bytes) -> ControlRedirector:
    """Wire the control role of a process without a data folder."""
    # Nothing is bound to a disk here: each start is another identity.
    identity = f"{settings.node}.{secrets.token_hex(4)}"
    local = LocalIdentity(settings.node, identity, settings.zone, key)
    return ControlRedirector(control, local, Random(secrets.randbits(64)))
