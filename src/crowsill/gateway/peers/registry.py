"""The other gateways that this one knows, and the choice among them. Pure."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgspec

from crowsill.model.peers import PeerOffer

# The group reports offers twice a second. Without the group, old ones are still worth a try: a peer
# that is gone, or can't help, says so at once.
OFFER_LIFETIME_S = 10.0
# How long a peer that could not be reached is not asked again.
FAILURE_PAUSE_S = 2.0
# The same if its machine refused the connection: a process that restarts is back within a second,
# and a refusal costs a round trip only.
REFUSAL_PAUSE_S = 0.2
# How long a peer that could not help with a service counts as one that reaches little of it; its
# offers say so only seconds later.
REJECTION_LIFETIME_S = 1.5
# Traffic between zones is paid for, so a peer of another zone must have this many requests less.
OTHER_ZONE_REQUESTS = 20
# Offers may be seconds old. If all peers reported that they reach no replica of a service, one of
# them is asked all the same, at most so often.
PROBE_INTERVAL_S = 0.05


@dataclass(slots=True)
class _KnownPeer:
    offer: PeerOffer
    received_at_s: float
    failing_until_s: float = float("-inf")
    rejected_at_s: dict[str, float] = field(default_factory=dict)

    def is_weak(self, service: str, now_s: float) -> bool:
        """Whether it reaches little of a service, by its offer or by a rejection."""
        rejected_at_s = self.rejected_at_s.get(service, float("-inf"))
        return service in self.offer.weak_services or now_s - rejected_at_s < REJECTION_LIFETIME_S


class PeerRegistry:
    """Offers of other gateways, by address.

    Attributes:
        own_address: `IP:port` of this gateway's own listener for peers; empty without one.
    """

    def __init__(self, zone: str, random: Random) -> None:
        """Create a registry.

        Args:
            zone: Zone of this gateway.
            random: Source of the choice among equals.
        """
        self.own_address = ""
        self._zone = zone
        self._random = random
        self._known: dict[str, _KnownPeer] = {}
        self._in_flight: Counter[str] = Counter()
        self._probed_at_s: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no other gateway is known."""
        return not self._known

    def note_offers(self, offers: list[PeerOffer], now_s: float) -> None:
        """Record offers that the group reported, and forget old ones."""
        for offer in offers:
            if offer.address == self.own_address:
                continue
            known = self._known.setdefault(offer.address, _KnownPeer(offer, now_s))
            known.offer, known.received_at_s = offer, now_s
        self._known = {
            address: known
            for address, known in self._known.items()
            if now_s - known.received_at_s < OFFER_LIFETIME_S
        }

    def note_unreachable(self, address: str, is_refused: bool, now_s: float) -> None:
        """Record that a peer could not be reached.

        Args:
            address: Its address.
            is_refused: Whether its machine refused the connection.
            now_s: Current monotonic time in seconds.
        """
        known = self._known.get(address)
        if known is not None:
            known.failing_until_s = now_s + (REFUSAL_PAUSE_S if is_refused else FAILURE_PAUSE_S)

    def note_rejected(self, address: str, service: str, now_s: float) -> None:
        """Record that a peer could not help with a request to a service."""
        known = self._known.get(address)
        if known is not None:
            known.rejected_at_s[service] = now_s

    def note_sent(self, offer: PeerOffer, service: str, now_s: float) -> None:
        """Count a request that is passed to a peer, until `note_ended`."""
        self._in_flight[offer.address] += 1
        if self._is_probe(offer, service):
            self._probed_at_s[service] = now_s

    def note_ended(self, address: str) -> None:
        """End the count of one request at a peer."""
        self._in_flight[address] -= 1
        if not self._in_flight[address]:
            del self._in_flight[address]

    def choose(self, service: str, tried: set[str], now_s: float) -> PeerOffer | None:
        """Return a peer that reaches replicas of a service, or None.

        One that reaches few of them is taken only if there is no other. Takes the less loaded of
        two that are drawn at random, from the own zone if it has any. All gateways that follow the
        same reports would otherwise choose the same peer.

        Args:
            service: The service.
            tried: Addresses of peers that have rejected the request.
            now_s: Current monotonic time in seconds.
        """
        known_usable = [
            known
            for address, known in self._known.items()
            if address not in tried
            and known.failing_until_s <= now_s
            and service not in known.offer.unreachable_services
        ]
        strong = [known for known in known_usable if not known.is_weak(service, now_s)]
        usable = [known.offer for known in strong or known_usable]
        near = self._less_loaded([offer for offer in usable if offer.zone == self._zone])
        far = self._less_loaded([offer for offer in usable if offer.zone != self._zone])
        if near is None or far is None:
            return near or far
        return far if self._load(far) + OTHER_ZONE_REQUESTS < self._load(near) else near

    def choose_probe(self, service: str, now_s: float) -> PeerOffer | None:
        """Return a peer that may reach a service again, although it reported otherwise, or None.

        Args:
            service: The service.
            now_s: Current monotonic time in seconds.
        """
        if now_s - self._probed_at_s.get(service, float("-inf")) < PROBE_INTERVAL_S:
            return None
        offers = [known.offer for known in self._known.values() if known.failing_until_s <= now_s]
        return self._less_loaded([offer for offer in offers if self._is_probe(offer, service)])

    def _is_probe(self, offer: PeerOffer, service: str) -> bool:
        return service in offer.unreachable_services

    def note_reaches(self, address: str, service: str) -> None:
        """Record that a peer has served a request, so that it reaches the service."""
        known = self._known.get(address)
        if known is not None:
            known.rejected_at_s.pop(service, None)
        if known is not None and self._is_probe(known.offer, service):
            left = [item for item in known.offer.unreachable_services if item != service]
            known.offer = msgspec.structs.replace(known.offer, unreachable_services=left)

    def _less_loaded(self, offers: list[PeerOffer]) -> PeerOffer | None:
        if not offers:
            return None
        return min(self._random.sample(offers, min(2, len(offers))), key=self._load)

    def _load(self, offer: PeerOffer) -> int:
        return offer.requests + self._in_flight[offer.address]
