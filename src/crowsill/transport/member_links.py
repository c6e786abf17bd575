"""Streams from this control member to the other members, for consensus messages."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from crowsill.consensus.membership import Member
from crowsill.consensus.messages import Envelope
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.transport.backoff import Backoff
from crowsill.transport.connection import Connection, ConnectionLostError, open_connection
from crowsill.transport.messages import Body, ConsensusTraffic, Ping
from crowsill.transport.stream import LocalIdentity, ProtocolError

INITIAL_RETRY_S = 0.05
# A restarted member must be reachable again before an election completes without it.
MAX_RETRY_S = 0.3
# A stream may go silent permanently without a reset while new streams work. Consensus messages have
# no reply on the same stream, so only a probe detects this. In a test in which all streams of a
# group go silent, the group commits within 2.2 s, its start included; without probes it commits
# nothing within 10 s.
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.8


class MemberLinks:
    """One outgoing stream to each other member, reopened whenever it ends.

    Messages for an unreachable member are dropped; the consensus protocol repeats them.
    """

    def __init__(
        self,
        local: LocalIdentity,
        random: Random,
        on_envelopes: Callable[[list[Envelope]], None],
    ) -> None:
        """Create the links; `on_envelopes` receives messages that arrive on them."""
        self._on_envelopes = on_envelopes
        self._local = local
        self._random = random
        self._tasks: dict[Member, asyncio.Task[None]] = {}
        self._connections: dict[str, Connection] = {}
        self._incoming: dict[str, Connection] = {}

    def set_members(self, members: Iterable[Member]) -> None:
        """Keep streams to exactly these members, except to this one."""
        other_members = {member for member in members if member.member_id != self._local.identity}
        for member in set(self._tasks) - other_members:
            self._tasks.pop(member).cancel()
            connection = self._connections.pop(member.member_id, None)
            if connection is not None:
                connection.close()
        for member in other_members - set(self._tasks):
            self._tasks[member] = asyncio.create_task(self._keep_open(member))

    def note_incoming(self, connection: Connection) -> None:
        """Record a stream that a member opened.

        A member that does not know the membership yet can respond only on such a stream.
        """
        self._incoming[connection.peer.identity] = connection

    def send(self, envelopes: list[Envelope]) -> None:
        """Send messages; those for the same member share a frame."""
        by_target: dict[str, list[Envelope]] = {}
        for envelope in envelopes:
            by_target.setdefault(envelope.target, []).append(envelope)
        for target, group in by_target.items():
            connection = self._connections.get(target) or self._incoming.get(target)
            if connection is not None:
                connection.push(ConsensusTraffic(group))

    def _open_connections(self) -> list[Connection]:
        """Return one open stream to each member that has one."""
        by_member = self._incoming | self._connections
        return [connection for connection in by_member.values() if not connection.is_closed]

    def broadcast(self, body: Body) -> None:
        """Push a message to all other members that are reached."""
        for connection in self._open_connections():
            connection.push(body)

    async def request_all(self, body: Body, timeout_s: float) -> list[Body]:
        """Send a request to all other members, and return the replies that came in time."""
        requests = [
            connection.request(body, timeout_s) for connection in self._connections.values()
        ]
        replies = await asyncio.gather(*requests, return_exceptions=True)
        return [reply for reply in replies if not isinstance(reply, BaseException)]

    def _on_push(self, _connection: Connection, body: Body) -> None:
        if isinstance(body, ConsensusTraffic):
            self._on_envelopes(body.envelopes)

    async def _keep_open(self, member: Member) -> None:
        backoff = Backoff(INITIAL_RETRY_S, MAX_RETRY_S, self._random)
        while True:
            try:
                connection = await open_connection(
                    member.host, member.port, self._local, on_push=self._on_push
                )
            except (OSError, TimeoutError, ProtocolError):
                await asyncio.sleep(backoff.next_s())
                continue
            backoff.reset()
            self._connections[member.member_id] = connection
            log_event(Event.PEER_CONNECTED, member=member.name)
            probe_task = asyncio.create_task(_probe(connection))
            try:
                await connection.run()
            finally:
                probe_task.cancel()
                connection.close()
                if self._connections.get(member.member_id) is connection:
                    del self._connections[member.member_id]
            log_event(Event.PEER_LOST, member=member.name)

    def close(self) -> None:
        """Close all streams."""
        self.set_members([])


async def _probe(connection: Connection) -> None:
    """Probe a stream and close it if a reply is missing, so that a new one is opened."""
    while not connection.is_closed:
        try:
            await connection.request(Ping(), PROBE_TIMEOUT_S)
        except ConnectionLostError:
            connection.close()
            return
        await asyncio.sleep(PROBE_INTERVAL_S)
