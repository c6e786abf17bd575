"""What a gateway process needs to pass requests to others and to accept theirs."""

from random import Random

from crowsill.gateway.headers import HeaderNames
from crowsill.gateway.peers.listener import PeerListener, PeerRequestServer
from crowsill.gateway.peers.registry import PeerRegistry
from crowsill.gateway.pool import ConnectionPool
from crowsill.model.peers import PeerOffer
from crowsill.settings import Address


class Peers:
    """The peers of one gateway.

    Attributes:
        registry: The other gateways that accept requests.
        pool: Connections to them.
        key: The cluster key, by which gateways know one another.
    """

    def __init__(self, names: HeaderNames, key: bytes, zone: str, random: Random) -> None:
        """Create it without a listener.

        Args:
            names: Header names that callers use.
            key: The cluster key.
            zone: Zone of this gateway.
            random: Source of the choice among peers.
        """
        self.registry = PeerRegistry(zone, random)
        self.pool = ConnectionPool(names)
        self.key = key
        self._zone = zone
        self._listener: PeerListener | None = None

    async def listen(self, server: PeerRequestServer, address: Address) -> None:
        """Accept requests of other gateways from now on."""
        listener = PeerListener(server, self.key, address)
        await listener.start()
        self.registry.own_address = listener.address
        self._listener = listener

    def offer(
        self, requests: int, unreachable_services: list[str], weak_services: list[str]
    ) -> PeerOffer | None:
        """Return what this gateway offers to others; None if it accepts nothing.

        Args:
            requests: Number of requests that it is serving.
            unreachable_services: Services of which it reaches no replica.
            weak_services: Services of which it reaches less than half of the replicas.
        """
        if self._listener is None:
            return None
        return PeerOffer(
            self._listener.address, self._zone, requests, unreachable_services, weak_services
        )

    def close(self) -> None:
        """Accept no more connections, and offer nothing."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
