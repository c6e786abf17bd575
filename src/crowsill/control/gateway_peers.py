"""Tells gateways which others accept their requests. Pure."""

from random import Random

from crowsill.model.peers import MAX_OFFERED_PEERS, PeerOffer

# Time for which a follower passes on what it received from the leader.
OFFER_LIFETIME_S = 2.0


class GatewayPeers:
    """Offers of gateways, as one member knows them."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._from_leader: list[PeerOffer] = []
        self._received_at_s = float("-inf")

    def note_from_leader(self, offers: list[PeerOffer], now_s: float) -> None:
        """Record the offers that the leader reported."""
        self._from_leader, self._received_at_s = offers, now_s

    def select(self, own: list[PeerOffer], zone: str, now_s: float) -> list[PeerOffer]:
        """Return at most `MAX_OFFERED_PEERS` offers for a gateway or a follower.

        Offers of gateways that reach most replicas of all services come first, then those of the
        same zone. Which of the others are left out is drawn anew each time.

        Args:
            own: Offers of the gateways that report to this member.
            zone: Zone of the receiver.
            now_s: Monotonic time in seconds.
        """
        known = {}
        if now_s - self._received_at_s < OFFER_LIFETIME_S:
            known = {offer.address: offer for offer in self._from_leader}
        known |= {offer.address: offer for offer in own}
        offers = list(known.values())
        if len(offers) <= MAX_OFFERED_PEERS:
            return offers
        self._random.shuffle(offers)
        offers.sort(key=_weakness)
        near = [offer for offer in offers if offer.zone == zone and not _weakness(offer)]
        near = near[: MAX_OFFERED_PEERS // 2]
        others = [offer for offer in offers if offer not in near]
        return near + others[: MAX_OFFERED_PEERS - len(near)]


def _weakness(offer: PeerOffer) -> int:
    """Return how little a gateway reaches: 2 if no replica of some service, 1 if only a few."""
    return 2 if offer.unreachable_services else int(bool(offer.weak_services))
