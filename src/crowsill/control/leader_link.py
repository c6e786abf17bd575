"""A follower's stream to the leader: fleet steps come in, heartbeats go out."""

import asyncio
from collections.abc import Callable

from crowsill.control.service import MemberService
from crowsill.model.fleet import FleetDelta, FleetView
from crowsill.transport.connection import Connection, open_connection
from crowsill.transport.leader_client import parse_address
from crowsill.transport.messages import Body, FleetUpdate
from crowsill.transport.stream import LocalIdentity, ProtocolError

REFRESH_S = 0.5
RETRY_S = 0.05
# As often as the consensus core ticks: what it learns of the leader is seen at its next step.
WATCH_S = 0.05


class LeaderLink:
    """Keeps a stream to whoever leads."""

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
            service: The member's service, which asks through the stream.
            fleet: The member's fleet view.
            publish: Receives each step of the view.
        """
        self._local = local
        self._service = service
        self._fleet = fleet
        self._publish = publish

    async def run(self) -> None:
        """Follow the leader until cancelled."""
        while True:
            driver = self._service.driver
            address = None if driver is None else driver.leader_address()
            if driver is None or address is None or driver.is_leader:
                await asyncio.sleep(RETRY_S)
                continue
            await self._follow(address)

    async def _follow(self, address: str) -> None:
        target = parse_address(address)
        try:
            connection = await open_connection(
                target.host, target.port, self._local, on_push=self._on_push
            )
        except (OSError, TimeoutError, ProtocolError):
            await asyncio.sleep(RETRY_S)
            return
        reader = asyncio.create_task(connection.run())
        self._service.leader_stream = connection
        refreshing = asyncio.create_task(self._refresh())
        try:
            # Looked at beside the questions, not between them: a question to a leader that is lost
            # without a word lasts until its time-out, and all that followers ask waits behind it.
            while not connection.is_closed and self._still_leads(address):
                await asyncio.sleep(WATCH_S)
        finally:
            self._service.leader_stream = None
            refreshing.cancel()
            connection.close()
            await asyncio.wait([reader, refreshing])

    async def _refresh(self) -> None:
        """Ask the leader again and again, so that fleet and demand stay up to date."""
        while True:
            await self._service.refresh_from_leader()
            await asyncio.sleep(REFRESH_S)

    def _still_leads(self, address: str) -> bool:
        driver = self._service.driver
        return driver is not None and driver.leader_address() == address

    def _on_push(self, _connection: Connection, body: Body) -> None:
        if isinstance(body, FleetUpdate) and self._fleet.adopt(body.delta):
            self._publish(body.delta)
