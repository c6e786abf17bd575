"""A follower's stream to the leader: it receives fleet deltas and sends heartbeats."""

import asyncio
from collections.abc import Callable

from crowsill.control.service import MemberService
from crowsill.model.fleet import FleetDelta, FleetView
from crowsill.transport.connection import Connection, open_connection
from crowsill.transport.leader_client import parse_address
from crowsill.transport.messages import Body, FleetUpdate
from crowsill.transport.stream import LocalIdentity, ProtocolError

REFRESH_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.05
# The interval of the consensus core's clock, so that a change of leader is seen within one tick.
LEADER_CHECK_INTERVAL_S = 0.05


class LeaderLink:
    """Keeps a stream to the current leader."""

    def __init__(
        self,
        local: LocalIdentity,
        service: MemberService,
        fleet: FleetView,
        publish: Callable[[FleetDelta], None],
    ) -> None:
        """Make a link.

        Args:
            local: Identity for the handshake.
            service: The member's service, which sends requests through the stream.
            fleet: The member's fleet view.
            publish: Receives each delta of the view.
        """
        self._local = local
        self._service = service
        self._fleet = fleet
        self._publish = publish

    async def run(self) -> None:
        """Follow the leader until cancelled."""
        while True:
            address = self._address_to_follow()
            if address is None:
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            await self._follow(address)

    async def _follow(self, address: str) -> None:
        target = parse_address(address)
        try:
            connection = await open_connection(
                target.host, target.port, self._local, on_push=self._on_push
            )
        except (OSError, TimeoutError, ProtocolError):
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        reader = asyncio.create_task(connection.run())
        self._service.leader_stream = connection
        refresh_task = asyncio.create_task(self._refresh())
        try:
            # Checked in parallel with the requests: a request to a leader that vanished silently
            # lasts until its time-out, and all requests of followers would wait for it.
            while not connection.is_closed and self._address_to_follow() == address:
                await asyncio.sleep(LEADER_CHECK_INTERVAL_S)
        finally:
            self._service.leader_stream = None
            refresh_task.cancel()
            connection.close()
            await asyncio.wait([reader, refresh_task])

    async def _refresh(self) -> None:
        """Query the leader periodically, so that fleet and demand stay current."""
        while True:
            await self._service.refresh_from_leader()
            await asyncio.sleep(REFRESH_INTERVAL_S)

    def _address_to_follow(self) -> str | None:
        """Return the address of the leader, if it is known and another member.

        A member that followed itself would receive all that it pushes to the leader, and push it
        again.
        """
        driver = self._service.driver
        if driver is None or driver.is_elected or driver.is_leader:
            return None
        return driver.leader_address()

    def _on_push(self, _connection: Connection, body: Body) -> None:
        if isinstance(body, FleetUpdate) and self._fleet.adopt(body.delta):
            self._publish(body.delta)
