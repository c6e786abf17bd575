"""A control process without a data folder: it stores nothing, never votes, and redirects callers.

It runs where the control role is started on machines of which only some have a disk. Callers get
`307` to the leader; other crowsill processes get the leader's address.
"""

import asyncio
import contextlib
import secrets
from random import Random
from typing import Any

import falcon
import falcon.asgi

from crowsill.api.common import new_application, request_id_of, write_problem
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
from crowsill.transport.membership_messages import (
    EmptyCheck,
    EmptyCheckReply,
    FindGroup,
    GroupReferral,
)
from crowsill.transport.messages import Body, NotLeader
from crowsill.transport.query import query_leader
from crowsill.transport.stream import LocalIdentity

# Interval of the search while no leader is known; a start takes about a second.
SEARCH_INTERVAL_S = 0.2
# Interval at which a known leader is queried again. Any member forwards requests, so an outdated
# address costs a caller at most one more step.
REFRESH_INTERVAL_S = 2.0
REPLY_TIMEOUT_S = 0.8


class LeaderLocator:
    """Tracks the address of the leader.

    Attributes:
        contacts: Addresses that it queries.
        leader: Address of the leader for other crowsill processes, or None.
    """

    def __init__(self, local: LocalIdentity, own: Address, contacts: GroupContacts) -> None:
        """Make a locator that knows no leader yet.

        Args:
            local: Identity for the handshake.
            own: Address at which this process receives referrals.
            contacts: Addresses to query.
        """
        self.contacts = contacts
        self.leader: Address | None = None
        self._local = local
        self._own = own
        self._referral_received = asyncio.Event()

    async def run(self) -> None:
        """Search for the leader until cancelled."""
        while True:
            known = self.leader
            self.leader = await self._find()
            if self.leader is None:
                self.contacts.note_not_found(monotonic_s())
                await self._wait_for_referral(SEARCH_INTERVAL_S)
                continue
            self.contacts.note_found()
            if self.leader != known:
                log_event(Event.LEADER_FOUND, leader=format_address(self.leader))
            # A new leader announces itself at once, so callers aren't redirected to the former
            # leader until the next query.
            await self._wait_for_referral(REFRESH_INTERVAL_S)

    async def _wait_for_referral(self, pause_s: float) -> None:
        """Wait for a referral from a leader, at most `pause_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._referral_received.wait()
        self._referral_received.clear()

    def note_referral(self) -> None:
        """Record that a leader sent the group's addresses."""
        self._referral_received.set()

    async def _find(self) -> Address | None:
        first = [] if self.leader is None else [self.leader]
        for target in dict.fromkeys([*first, *self.contacts.targets()]):
            found = await self._query(target)
            if found is not None:
                return found
        return None

    async def _query(self, target: Address) -> Address | None:
        """Query one process and the one that it refers to; return the leader's address."""
        question = FindGroup(format_address(self._own))
        leader, reply = await query_leader(target, question, self._local, REPLY_TIMEOUT_S)
        if isinstance(reply, NotLeader):
            self.contacts.add_referrals([parse_address(member) for member in reply.members])
        if not isinstance(reply, GroupReferral):
            return None
        self.contacts.set_members([parse_address(member) for member in reply.members])
        return leader


class RedirectResource:
    """Every path: `307` to the leader, or `503` while none is known."""

    def __init__(self, locator: LeaderLocator, port: int) -> None:
        """Make the resource.

        Args:
            locator: Tracks the leader.
            port: Port of the same interface at every member.
        """
        self._locator = locator
        self._port = port

    async def __call__(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, **_params: str
    ) -> None:
        """Redirect a request."""
        leader = self._locator.leader
        if leader is None:
            problem = Problem(ErrorKind.NO_LEADER, "no leader of the control group is known")
            write_problem(response, problem, request_id_of(request))
            return
        response.status = falcon.HTTP_307
        response.location = f"http://{leader.host}:{self._port}{request.relative_uri}"


def redirect_application(locator: LeaderLocator, port: int) -> Any:  # noqa: ANN401
    """Make the ASGI application; `port` is that of the same interface at every member."""
    application = new_application()
    application.add_sink(RedirectResource(locator, port), "/")
    return application


class ControlRedirector:
    """The control role of a process without a data folder."""

    def __init__(self, control: ControlSettings, local: LocalIdentity, random: Random) -> None:
        """Wire the process.

        Args:
            control: Its control settings.
            local: Its identity.
            random: Randomizes the order in which members are queried.
        """
        self._control = control
        contacts = GroupContacts(control.seeds, random)
        self._locator = LeaderLocator(local, control.listen, contacts)
        self._member_server = ConnectionServer(
            local, self._on_request, lambda *_push: None, lambda _connection: None
        )
        self._listeners: list[HttpServer] = []
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the listeners and start the search for the leader."""
        listen = self._control.listen
        await self._member_server.start(listen.host, listen.port)
        for listener in (self._control.registrations, self._control.operators):
            if listener is not None:
                await self._listen(listener)
        self._task = asyncio.create_task(self._locator.run())

    async def _listen(self, listener: HttpListener) -> None:
        server = HttpServer(redirect_application(self._locator, listener.port), listener)
        await server.start()
        self._listeners.append(server)

    def use_seeds(self, control: ControlSettings) -> None:
        """Adopt changed seeds."""
        self._locator.contacts.seeds = control.seeds

    async def _on_request(self, connection: Connection, body: Body) -> Body:
        if isinstance(body, EmptyCheck):
            return EmptyCheckReply(identity="", is_empty=True, may_vote=False)
        locator = self._locator
        if isinstance(body, GroupReferral):
            acknowledgement = accept_referral(locator.contacts, connection, body)
            locator.note_referral()
            return acknowledgement
        leader = None if locator.leader is None else format_address(locator.leader)
        return NotLeader(
            leader, [format_address(item) for item in locator.contacts.known_addresses()]
        )

    async def drain(self) -> None:
        """Do nothing: this process has no state to hand over."""

    async def wait_for_failure(self) -> BaseException | None:
        """Wait until the search for the leader stops by itself; return the error."""
        if self._task is None:
            return None
        await asyncio.wait([self._task])
        return None if self._task.cancelled() else self._task.exception()

    async def stop(self) -> None:
        """Stop the search and close the listeners."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._member_server.stop()
        for server in self._listeners:
            await server.stop()


def make_redirector(settings: Settings, control: ControlSettings, key: bytes) -> ControlRedirector:
    """Wire the control role of a process without a data folder."""
    # Without a data folder nothing persists, so each start uses a new identity.
    identity = f"{settings.node}.{secrets.token_hex(4)}"
    local = LocalIdentity(settings.node, identity, settings.zone, key)
    return ControlRedirector(control, local, Random(secrets.randbits(64)))
