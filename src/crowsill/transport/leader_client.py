"""Sends requests to the leader of the control group and locates it.

Only requests that may be processed twice are sent this way: a command carries its own id, so that
a repetition after a lost reply returns the first result.
"""

import asyncio
from random import Random

from returns.result import Failure, Result, Success

from crowsill.clock import monotonic_s
from crowsill.errors import ErrorKind, Problem
from crowsill.settings import Address
from crowsill.transport.backoff import Backoff
from crowsill.transport.connection import Connection, ConnectionLostError, open_connection
from crowsill.transport.messages import Body, NotLeader, OutcomeUnknown, SubmitCommand, Submitted
from crowsill.transport.stream import LocalIdentity, ProtocolError

INITIAL_RETRY_S = 0.02
MAX_RETRY_S = 0.25
REQUEST_TIMEOUT_S = 2.0


def parse_address(text: str) -> Address:
    """Parse `IP:port`.

    >>> parse_address("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    """
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def format_address(address: Address) -> str:
    """Format an address as `IP:port`.

    >>> format_address(Address("127.0.0.1", 80))
    '127.0.0.1:80'
    """
    return f"{address.host}:{address.port}"


class LeaderClient:
    """Locates the leader and keeps streams to the members that it has queried."""

    def __init__(self, local: LocalIdentity, members: list[Address], random: Random) -> None:
        """Create a client.

        Args:
            local: Identity for the handshake.
            members: Addresses of members, which redirect to the leader.
            random: Randomizes the choice of members and the delays.
        """
        self._local = local
        self._members = members
        self._random = random
        self._connections: dict[Address, Connection] = {}
        self._readers: set[asyncio.Task[None]] = set()
        self._connecting: dict[Address, asyncio.Task[Connection]] = {}
        self._leader: Address | None = None

    def set_members(self, members: list[Address]) -> None:
        """Replace the addresses of members."""
        self._members = members

    async def submit(
        self, request: SubmitCommand, deadline_at_s: float
    ) -> Result[Submitted, Problem]:
        """Submit a command to the leader and retry until it is committed.

        Args:
            request: The command; it must carry its own id.
            deadline_at_s: Monotonic time in seconds after which no attempt begins.

        Returns:
            The result, or a problem; after a problem the command may still be committed.
        """
        backoff = Backoff(INITIAL_RETRY_S, MAX_RETRY_S, self._random)
        while monotonic_s() < deadline_at_s:
            reply = await self._attempt(request, deadline_at_s)
            if isinstance(reply, Submitted):
                return Success(reply)
            redirected = isinstance(reply, NotLeader) and self._update_leader(reply)
            if not redirected:
                await asyncio.sleep(min(backoff.next_s(), max(0.0, deadline_at_s - monotonic_s())))
        return Failure(Problem(ErrorKind.NO_LEADER, "no majority of control members responds"))

    def _update_leader(self, reply: NotLeader) -> bool:
        target = None if reply.leader is None else parse_address(reply.leader)
        changed = target is not None and target != self._leader
        self._leader = target
        return changed

    async def _attempt(self, request: Body, deadline_at_s: float) -> Body | None:
        address = self._leader or self._random.choice(self._members)
        timeout_s = max(0.01, min(REQUEST_TIMEOUT_S, deadline_at_s - monotonic_s()))
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connection(address)
            reply = await connection.request(request, timeout_s)
        except (OSError, TimeoutError, ProtocolError, ConnectionLostError):
            self._leader = None
            return None
        if isinstance(reply, Submitted):
            self._leader = address
        elif isinstance(reply, OutcomeUnknown):
            self._leader = None
        return reply

    async def _connection(self, address: Address) -> Connection:
        existing = self._connections.get(address)
        if existing is not None and not existing.is_closed:
            return existing
        connecting = self._connecting.get(address)
        if connecting is None:
            connecting = asyncio.create_task(self._connect(address))
            self._connecting[address] = connecting
            connecting.add_done_callback(lambda task: self._note_connected(address, task))
        return await asyncio.shield(connecting)

    def _note_connected(self, address: Address, task: asyncio.Task[Connection]) -> None:
        self._connecting.pop(address, None)
        if not task.cancelled():
            # Marks the exception as retrieved; asyncio would log it if all waiters were cancelled.
            task.exception()

    async def _connect(self, address: Address) -> Connection:
        connection = await open_connection(address.host, address.port, self._local)
        self._connections[address] = connection
        reader = asyncio.create_task(connection.run())
        self._readers.add(reader)
        reader.add_done_callback(self._readers.discard)
        return connection

    def close(self) -> None:
        """Close all streams."""
        for connection in self._connections.values():
            connection.close()
