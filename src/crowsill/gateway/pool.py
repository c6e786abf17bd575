"""A pool of connections to replicas, by instance."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from crowsill.gateway.headers import HeaderNames
from crowsill.gateway.replica_connection import ReplicaConnection
from crowsill.model.instances import Instance
from crowsill.transport.leader_client import parse_address
from crowsill.transport.sockets import connect, set_peer_timeout

# The kernel repeats a lost SYN only after a second, and replicas answer one within milliseconds.
CONNECT_TIMEOUT_S = 0.5
SILENCE_TIMEOUT_S = 2.0
SWEEP_INTERVAL_S = 1.0


class ConnectError(Exception):
    """No connection could be opened; nothing was sent."""

    @property
    def is_refused(self) -> bool:
        """Whether the machine refused the connection, because no process listens on the port."""
        return isinstance(self.__cause__, ConnectionRefusedError)


@dataclass(slots=True)
class _InstancePool:
    idle: list[ReplicaConnection] = field(default_factory=list)
    busy: set[ReplicaConnection] = field(default_factory=set)
    received_at_s: float = float("-inf")
    lost_at_s: float = float("-inf")
    in_use: int = 0


class ConnectionPool:
    """Connections by instance; a replica that restarts at the same address is a new instance.

    Attributes:
        opened: Number of connections that were opened, or tried, so far.
        on_idle_lost: Receives the id of the instance when an idle connection is lost with an error.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._loop = asyncio.get_running_loop()
        self._pools: dict[str, _InstancePool] = {}
        self.opened = 0
        self.on_idle_lost: Callable[[str], None] = lambda _instance_id: None

    def in_use(self, instance_id: str) -> int:
        """Return the number of connections in use, including those being opened."""
        pool = self._pools.get(instance_id)
        return 0 if pool is None else pool.in_use

    def has_idle(self, instance_id: str) -> bool:
        """Whether an idle connection to the instance is in the pool."""
        pool = self._pools.get(instance_id)
        return pool is not None and bool(pool.idle)

    def has_open(self, instance_id: str) -> bool:
        """Whether this process has any open connection to the instance."""
        return any(connection.is_open for connection in self._established(instance_id))

    def has_used(self, instance_id: str) -> bool:
        """Whether a connection is open on which the instance has sent anything.

        A connection that is not read, because its caller does not read, may have ended.
        """
        connections = self._established(instance_id)
        return any(
            item.is_open and item.has_received and not item.is_paused for item in connections
        )

    def _established(self, instance_id: str) -> list[ReplicaConnection]:
        """Return the connections to an instance, without those that are being opened."""
        pool = self._pools.get(instance_id)
        return [] if pool is None else [*pool.busy, *pool.idle]

    def received_at_s(self, instance_id: str) -> float:
        """Return the monotonic time at which bytes were last received from an instance.

        A connection that was opened alone shows nothing: middleboxes accept connections, too.
        Before any bytes, the time is minus infinity.
        """
        pool = self._pools.get(instance_id)
        if pool is None:
            return float("-inf")
        times = [connection.received_at_s for connection in pool.busy]
        return max([pool.received_at_s, *times])

    def _take_idle(
        self, pool: _InstancePool, request_id: bytes, now_s: float
    ) -> ReplicaConnection | None:
        """Take the connection that was released last of those that have not carried a request.

        If all have, the oldest one is closed.
        """
        for connection in reversed(pool.idle):
            if (
                not connection.is_open
                or not connection.is_reusable
                or now_s >= connection.idle_expires_at_s
            ):
                pool.idle.remove(connection)
                connection.discard()
            elif not connection.has_carried(request_id):
                pool.idle.remove(connection)
                return connection
        if pool.idle:
            # The one that is opened in its place would be one more than the gateway's share.
            pool.idle.pop(0).discard()
        return None

    def acquire_idle(self, instance_id: str, request_id: bytes = b"") -> ReplicaConnection | None:
        """Return an idle connection for exclusive use, or None if there is none.

        Args:
            instance_id: The instance.
            request_id: Id of the request to be sent; empty for one without an id.
        """
        pool = self._pools.get(instance_id)
        if pool is None:
            return None
        connection = self._take_idle(pool, request_id, self._loop.time())
        if connection is not None:
            pool.in_use += 1
            pool.busy.add(connection)
        return connection

    async def acquire(
        self, instance: Instance, timeout_s: float, request_id: bytes = b""
    ) -> ReplicaConnection:
        """Return an idle connection, or open a new one, for exclusive use.

        Args:
            instance: The instance.
            timeout_s: Time to open a connection.
            request_id: Id of the request to be sent; empty for one without an id.

        Raises:
            ConnectError: No connection could be opened in time; nothing was sent.
        """
        connection = self.acquire_idle(instance.instance_id, request_id)
        if connection is None:
            return await self.open_connection(instance, timeout_s)
        return connection

    async def open_connection(self, instance: Instance, timeout_s: float) -> ReplicaConnection:
        """Open a new connection, even if there are idle ones.

        Raises:
            ConnectError: No connection could be opened in time; `is_refused` gives the reason.
        """
        pool = self._pools.setdefault(instance.instance_id, _InstancePool())
        pool.in_use += 1
        try:
            connection = await self._open(instance, timeout_s)
            pool.busy.add(connection)
            return connection
        except (OSError, TimeoutError) as error:
            pool.in_use -= 1
            raise ConnectError(str(error) or type(error).__name__) from error
        except BaseException:
            pool.in_use -= 1
            raise

    async def _open(self, instance: Instance, timeout_s: float) -> ReplicaConnection:
        address = parse_address(instance.address)
        self.opened += 1
        sock = await connect(address.host, address.port, min(CONNECT_TIMEOUT_S, timeout_s))
        transport, connection = await self._loop.create_connection(
            lambda: ReplicaConnection(self._names), sock=sock
        )
        set_peer_timeout(transport, SILENCE_TIMEOUT_S)
        connection.on_lost = lambda: self._note_lost(instance.instance_id, connection)
        return connection

    def _note_lost(self, instance_id: str, connection: ReplicaConnection) -> None:
        """Record that a connection was lost with an error."""
        pool = self._pools.get(instance_id)
        if pool is None:
            return
        pool.lost_at_s = self._loop.time()
        if connection not in pool.busy:
            self.on_idle_lost(instance_id)

    def lost_at_s(self, instance_id: str) -> float:
        """Return the monotonic time at which a connection was last lost with an error."""
        pool = self._pools.get(instance_id)
        return float("-inf") if pool is None else pool.lost_at_s

    def release(self, instance_id: str, connection: ReplicaConnection, reusable: bool) -> None:
        """Return a connection to the pool after its request has ended."""
        pool = self._pools.setdefault(instance_id, _InstancePool())
        pool.in_use = max(0, pool.in_use - 1)
        pool.busy.discard(connection)
        pool.received_at_s = max(pool.received_at_s, connection.received_at_s)
        if reusable and connection.is_open and connection.is_reusable:
            # Its caller may have fallen behind with the last bytes.
            connection.pause_reading(False)
            pool.idle.append(connection)
        else:
            connection.discard()

    def close_idle(self, instance_id: str) -> None:
        """Close the idle connections of an instance; the next request opens a new one."""
        pool = self._pools.get(instance_id)
        if pool is None:
            return
        for connection in pool.idle:
            connection.discard()
        pool.idle.clear()

    def forget(self, instance_id: str) -> None:
        """Remove an instance that gets no more work; close its idle connections."""
        self.close_idle(instance_id)
        pool = self._pools.get(instance_id)
        if pool is not None and pool.in_use == 0:
            del self._pools[instance_id]

    async def sweep(self) -> None:
        """Close connections whose idle time has expired, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = self._loop.time()
            for pool in self._pools.values():
                kept = [
                    item for item in pool.idle if item.is_open and now_s < item.idle_expires_at_s
                ]
                for connection in pool.idle:
                    if connection not in kept:
                        connection.discard()
                pool.idle = kept
