"""A control process without a disk: it stores nothing, never votes, and points callers at members.

It runs where an operator starts the control role on machines of which only some have a disk.
Callers get `307` to the leader; processes that ask it for the leader are told where that is.
"""

import asyncio
import contextlib
import secrets
from random import Random
from typing import Any

import falcon
import falcon.asgi

from crowsill.api.common import answer_problem, new_application, request_id_of
from crowsill.api.server import HttpServer
from crowsill.clock import monotonic_s
from crowsill.control.announcer import accept_referral
from crowsill.errors import ErrorKind, Problem
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.settings import Address, ControlSettings, HttpListener, Settings
from crowsill.transport.connection import Connection, ConnectionServer
from crowsill.transport.group_contacts import GroupContacts
from crowsill.transport.leader_client import format_address, parse_address
from crowsill.transport.membership_messages import BlankCheck, FindGroup, GroupReferral, MemberBlank
from crowsill.transport.messages import Body, NotLeader
from crowsill.transport.question import ask_leader
from crowsill.transport.stream import LocalIdentity

# While no leader is known it is looked for this often; a start takes about a second.
SEARCH_S = 0.2
# A known leader is asked again this often. Any member passes calls on, so that an old answer costs
# a caller one more step at most.
REFRESH_S = 2.0
REPLY_TIMEOUT_S = 0.8


class LeaderLocator:
    """Knows where the leader is.

    Attributes:
        contacts: Whom it asks.
        leader: Address of the leader for other crowsill processes, or None.
    """

    def __init__(self, local: LocalIdentity, own: Address, contacts: GroupContacts) -> None:
        """Make a pointer that knows nothing yet.

        Args:
            local: Identity for the handshake.
            own: Where this process can be told later.
            contacts: Whom to ask.
        """
        self.contacts = contacts
        self.leader: Address | None = None
        self._local = local
        self._own = own
        self._told = asyncio.Event()

    async def run(self) -> None:
        """Look for the leader until cancelled."""
        while True:
            known = self.leader
            self.leader = await self._find()
            if self.leader is None:
                self.contacts.missed(monotonic_s())
                await self._pause(SEARCH_S)
                continue
            self.contacts.found()
            if self.leader != known:
                log_event(Event.LEADER_FOUND, leader=format_address(self.leader))
            # A new leader tells at once that it leads, so that callers are not sent to the last
            # one until the next question.
            await self._pause(REFRESH_S)

    async def _pause(self, pause_s: float) -> None:
        """Wait, or until a leader says where the group is."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._told.wait()
        self._told.clear()

    def told(self) -> None:
        """A leader has said where the group is."""
        self._told.set()

    async def _find(self) -> Address | None:
        first = [] if self.leader is None else [self.leader]
        for target in dict.fromkeys([*first, *self.contacts.targets()]):
            found = await self._ask(target)
            if found is not None:
                return found
        return None

    async def _ask(self, target: Address) -> Address | None:
        """Ask one process, and the one it names; return the leader's address."""
        question = FindGroup(format_address(self._own))
        leader, reply = await ask_leader(target, question, self._local, REPLY_TIMEOUT_S)
        if isinstance(reply, NotLeader):
            self.contacts.refer([parse_address(member) for member in reply.members])
        if not isinstance(reply, GroupReferral):
            return None
        self.contacts.learn([parse_address(member) for member in reply.members])
        return leader


class RedirectResource:
    """Every path: `307` to the leader, or `503` while none is known."""

    def __init__(self, pointer: LeaderLocator, port: int) -> None:
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


def redirect_application(pointer: LeaderLocator, port: int) -> Any:  # noqa: ANN401
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
        contacts = GroupContacts(control.seeds, random)
        self._pointer = LeaderLocator(local, control.listen, contacts)
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
        self._pointer.contacts.seeds = control.seeds

    async def _on_request(self, connection: Connection, body: Body) -> Body:
        if isinstance(body, BlankCheck):
            return MemberBlank(identity="", is_blank=True, may_vote=False)
        pointer = self._pointer
        if isinstance(body, GroupReferral):
            taken = accept_referral(pointer.contacts, connection, body)
            pointer.told()
            return taken
        leader = None if pointer.leader is None else format_address(pointer.leader)
        return NotLeader(leader, [format_address(item) for item in pointer.contacts.known()])

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
