"""Gateways that accept requests of other gateways, as they report themselves to the group."""

import msgspec

# The group tells a gateway of at most this many peers at a time: 12 of about 45 bytes, twice a
# second, are 1.1 KB/s.
MAX_OFFERED_PEERS = 12
MAX_REPORTED_SERVICES = 8


class PeerOffer(msgspec.Struct, frozen=True, array_like=True):
    """One gateway that accepts requests of other gateways.

    Attributes:
        address: `IP:port` at which it accepts them.
        zone: Its zone.
        requests: Requests that it is serving.
        unreachable_services: Services of which it reaches no replica; at most
            `MAX_REPORTED_SERVICES`.
        weak_services: Services of which it reaches less than half of the replicas; at most
            `MAX_REPORTED_SERVICES`.
    """

    address: str
    zone: str
    requests: int = 0
    unreachable_services: list[str] = []
    weak_services: list[str] = []
