"""Ports of replicas that open and close, and a crash watch whose reports are recorded."""

import asyncio

from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.crash_watch import CrashWatch
from crowsill.gateway.pool import ConnectionPool
from crowsill.gateway.request import CallerRequest
from crowsill.model.instances import Instance, InstanceState
from crowsill.model.suspects import SuspectRequest
from crowsill.state.commands import Acknowledged
from crowsill.transport.messages import Submitted
from tests.gateway_world import LOCAL, NAMES


def suspect(fingerprint=b"f", ran_s=0.1, **more):
    return SuspectRequest(fingerprint, "r", "h/a", "s", ran_s, **more)


def request(**changes):
    values = {
        "method": b"POST",
        "target": b"/pay/a?q=1",
        "headers": [(b"Host", b"h")],
        "body": b"body",
        "keep_alive": True,
        "arrived_at_s": 1.0,
        "host": "h",
    }
    return CallerRequest(**{**values, **changes})


class Port:
    """A replica's port: open, closed, or closed while old connections stay open."""

    def __init__(self):
        self.connections = set()

    async def open(self):
        self._server = await asyncio.start_server(self._serve, LOCAL, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        await reader.read()

    def close(self):
        self._server.close()

    def crash(self):
        self.close()
        for writer in self.connections:
            writer.transport.abort()


class Watched:
    """A crash watch with its pool.

    Attributes:
        reported: Messages that were sent to the group.
        crashed: Ids of instances that were found to have crashed.
        is_connected: Whether the group accepts messages.
        has_lost_links: Whether no other replica is reached either.
        listed: Ids of instances that the directory lists.
    """

    def __init__(self, is_connected=True):
        self.reported = []
        self.crashed = []
        self.is_connected = is_connected
        self.has_lost_links = False
        self.listed = {"i-1"}
        self.guard = CrashGuard()
        self.pool = ConnectionPool(NAMES)
        self.watch = CrashWatch(
            self.pool,
            self.guard,
            self._query,
            self.crashed.append,
            find_lost_beside=self._find_lost_beside,
            is_listed=lambda instance_id: instance_id in self.listed,
        )

    async def _find_lost_beside(self, _instance, _has_crashed):
        return ["i-2"] if self.has_lost_links else []

    async def _query(self, message, _timeout_s):
        if not self.is_connected:
            return None
        self.reported.append(message)
        return Submitted(Acknowledged())


def at(port, state=InstanceState.READY):
    return Instance("i-1", "s", f"{LOCAL}:{port.port}", "z", 8, state)


async def settle(watched):
    await watched.watch.has_crashed("i-1")
    await asyncio.sleep(0.05)
