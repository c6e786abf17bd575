"""Which peer is asked to serve a request.

Guards against callers that were rejected for seconds after another gateway reached replicas again:
the last report said that none does, and nobody was asked.
"""

from random import Random

from crowsill.control.gateway_peers import GatewayPeers
from crowsill.gateway.peers.registry import PROBE_INTERVAL_S, PeerRegistry
from crowsill.model.peers import MAX_OFFERED_PEERS, PeerOffer


def registry_of(*offers):
    registry = PeerRegistry("z", Random(1))
    registry.note_offers(list(offers), 10.0)
    return registry


def test_a_peer_that_reported_to_reach_nothing_is_asked_now_and_then():
    offer = PeerOffer("a:1", "z", 0, ["till"])
    registry = registry_of(offer)
    assert registry.choose("till", set(), 10.0) is None
    assert registry.choose_probe("till", 10.0) is offer
    registry.note_sent(offer, "till", 10.0)
    assert registry.choose_probe("till", 10.0 + PROBE_INTERVAL_S / 2) is None
    assert registry.choose_probe("till", 10.0 + PROBE_INTERVAL_S) is offer


def test_a_peer_that_has_served_a_request_is_used_again_at_once():
    registry = registry_of(PeerOffer("a:1", "z", 0, ["other", "till"]))
    registry.note_reaches("a:1", "till")
    chosen = registry.choose("till", set(), 10.0)
    assert chosen is not None and chosen.unreachable_services == ["other"]
    assert registry.choose_probe("till", 10.0) is None


def test_a_peer_that_reaches_the_service_is_no_probe():
    registry = registry_of(PeerOffer("a:1", "z"), PeerOffer("b:1", "z", 0, ["till"]))
    assert registry.choose("till", set(), 10.0).address == "a:1"
    assert registry.choose_probe("till", 10.0).address == "b:1"


def test_a_peer_that_lost_most_of_its_links_is_asked_last():
    # Gateways that still reached a few replicas were asked as often as those that reach all.
    weak = [PeerOffer(f"w{number}:1", "z", 0, [], ["till"]) for number in range(14)]
    registry = registry_of(*weak, PeerOffer("good:1", "z", 9))
    assert registry.choose("till", set(), 0.0).address == "good:1"
    assert registry.choose("till", {"good:1"}, 0.0).address.startswith("w")
    offers = GatewayPeers(Random(1)).select([*weak, PeerOffer("good:1", "y", 9)], "z", 0.0)
    assert len(offers) == MAX_OFFERED_PEERS and offers[0].address == "good:1"


def test_a_peer_that_restarts_is_asked_again_soon():
    # Callers of a gateway without links were rejected for 2 s after the only helper had restarted.
    registry = registry_of(PeerOffer("a:1", "z"), PeerOffer("b:1", "z"))
    registry.note_unreachable("a:1", True, 10.0)
    registry.note_unreachable("b:1", False, 10.0)
    assert registry.choose("till", set(), 10.1) is None
    assert registry.choose("till", set(), 10.3).address == "a:1"
    assert {registry.choose("till", {"a:1"}, at_s) for at_s in (10.3, 11.9)} == {None}
    assert registry.choose("till", {"a:1"}, 12.1).address == "b:1"
