"""Requests to the leading control member, wherever it is.

Only requests that may safely be handled twice go through here: a command carries its own id, so
a resend after a lost reply gets the first answer.
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

FIRST_RETRY_S = 0.02
LARGEST_RETRY_S = 0.25
REQUEST_TIMEOUT_S = 2.0


def parse_address(text: str) -> Address:
    """Split `IP:port`.

    >>> parse_address("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    """
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def format_address(address: Address) -> str:
    """Write an address as `IP:port`.

    >>> format_address(Address("127.0.0.1", 80))
    '127.0.0.1:80'
    """
    return f"{address.host}:{address.port}"


class LeaderClient:
    """Finds the leader and keeps one stream to it."""

    def __init__(self, local: LocalIdentity, members: list[Address], random: Random) -> None:
        """Make a client.

        Args:
            local: Identity for the handshake.
            members: Addresses to ask for the leader.
            random: Source of the order and of delays.
        """
        self._local = local
        self._members = members
        self._random = random
        self._connections: dict[Address, Connection] = {}
        self._readers: set[asyncio.Task[None]] = set()
        self._connecting: dict[Address, asyncio.Task[Connection]] = {}
        self._leader: Address | None = None

    def use_members(self, members: list[Address]) -> None:
        """Ask these members from now on."""
        self._members = members

    async def submit(self, request: SubmitCommand, deadline_s: float) -> Result[Submitted, Problem]:
        """Have a command committed.

        Args:
            request: The command; it must carry its own id.
            deadline_s: Monotonic clock when to give up.

        Returns:
            The result; or a problem, after which the command may still be committed.
        """
        backoff = Backoff(FIRST_RETRY_S, LARGEST_RETRY_S, self._random)
        while monotonic_s() < deadline_s:
            reply = await self._try_once(request, deadline_s)
            if isinstance(reply, Submitted):
                return Success(reply)
            redirected = isinstance(reply, NotLeader) and self._follow(reply)
            if not redirected:
                await asyncio.sleep(min(backoff.next_s(), max(0.0, deadline_s - monotonic_s())))
        return Failure(Problem(ErrorKind.NO_LEADER, "no majority of control members answers"))

    def _follow(self, reply: NotLeader) -> bool:
        target = None if reply.leader is None else parse_address(reply.leader)
        changed = target is not None and target != self._leader
        self._leader = target
        return changed

    async def _try_once(self, request: Body, deadline_s: float) -> Body | None:
        address = self._leader or self._random.choice(self._members)
        timeout_s = max(0.01, min(REQUEST_TIMEOUT_S, deadline_s - monotonic_s()))
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
        known = self._connections.get(address)
        if known is not None and not known.is_closed:
            return known
        connecting = self._connecting.get(address)
        if connecting is None:
            connecting = asyncio.create_task(self._connect(address))
            self._connecting[address] = connecting
            connecting.add_done_callback(lambda task: self._connected(address, task))
        return await asyncio.shield(connecting)

    def _connected(self, address: Address, task: asyncio.Task[Connection]) -> None:
        self._connecting.pop(address, None)
        if not task.cancelled():
            task.exception()  # Retrieved by those who wait; marks it as seen.

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
