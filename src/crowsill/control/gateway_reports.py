"""Collects the reports in heartbeats of gateways and entries, and forwards them to the leader."""

import secrets
from random import Random

from crowsill.control.gateway_paces import GatewayPaces, PaceChange
from crowsill.control.gateway_peers import GatewayPeers
from crowsill.control.gateway_use import GatewayUse
from crowsill.control.replica_grants import ReplicaGrants
from crowsill.control.subscribers import DemandCounter, LiveEntries
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.model.peers import PeerOffer
from crowsill.model.replica_use import UseByReplica, without_paces
from crowsill.overload.level_keeper import LevelKeeper
from crowsill.transport.messages import Heartbeat


class GatewayReports:
    """Reports of the gateways and entries that follow one member.

    Attributes:
        live_entries: Entries that reported recently, here or through followers.
        demand: Requests by resource, collected by the leader or forwarded to it.
        urgent: Those requests that have a short latency target.
        overloaded: Those requests whose first event took most of their target latency, or that
            found no replica with capacity.
        use: The gateways' use of replicas.
        paces: The paces of replicas, learned from the gateways' reports.
        replica_grants: Rate limits that replicas advertise, and the grants under them.
        peers: Gateways that accept requests of others.
        levels: Demand for services, and what is admitted.
    """

    def __init__(self) -> None:
        self.live_entries = LiveEntries()
        self.demand = DemandCounter()
        self.urgent = DemandCounter()
        self.overloaded = DemandCounter()
        self.use = GatewayUse()
        self.paces = GatewayPaces()
        self.replica_grants = ReplicaGrants()
        self.peers = GatewayPeers(Random(secrets.randbits(64)))
        self.levels = LevelKeeper()

    def note(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Record a heartbeat's reports, but for its `in_use`: see `note_use`."""
        self.live_entries.note(heartbeat.entries, now_s)
        self.demand.add(heartbeat.demand)
        self.urgent.add(heartbeat.urgent)
        self.overloaded.add(heartbeat.overloaded)
        self.replica_grants.note(heartbeat.limits)

    def note_use(self, source: str, use: UseByReplica, now_s: float) -> None:
        """Record the use of replicas by a gateway or follower, and the paces that it received."""
        _log_changes(self.paces.note_reports(use, now_s))
        self.use.note(source, without_paces(use), now_s)

    def note_total_use(self, total: UseByReplica, now_s: float) -> None:
        """Record the use by all gateways and the learned paces, as received from the leader."""
        _log_changes(self.paces.note_learned(total, now_s))
        self.use.note_total(total, now_s)

    def total_use(self, is_leader: bool, now_s: float) -> UseByReplica | None:
        """Return the use of replicas by all gateways, as far as this member knows it."""
        if not is_leader:
            return self.use.total(now_s)
        return self.paces.with_learned(self.use.sum(now_s), now_s)

    def peer_offers(self, zone: str, now_s: float) -> list[PeerOffer]:
        """Return offers of gateways to tell a gateway or follower of a zone."""
        live = self.live_entries.live(now_s)
        own = [status.peer for status in live if status.peer is not None]
        return self.peers.select(own, zone, now_s)

    def make_heartbeat(
        self, leader: object, fleet_position: tuple[int, int], now_s: float
    ) -> Heartbeat:
        """Return the heartbeat that a follower sends to the leader for all its subscribers.

        A follower sends many heartbeats per second, and the subscribers' reports are the largest
        part, so only some heartbeats include them.

        Args:
            leader: The stream to the leader.
            fleet_position: Epoch and sequence of the member's fleet view.
            now_s: Monotonic time in seconds.
        """
        is_due = self.use.is_due(leader, now_s)
        return Heartbeat(
            *fleet_position,
            entries=self.live_entries.to_reports(now_s) if is_due else [],
            demand=self.demand.collect(),
            follows_configuration=False,
            urgent=self.urgent.collect(),
            overloaded=self.overloaded.collect(),
            in_use=self.paces.with_unsent(self.use.sum(now_s)) if is_due else None,
            limits=self.replica_grants.to_reports() if is_due else [],
            pressure=self.levels.sum_report(now_s) if is_due else None,
        )


def _log_changes(changes: list[PaceChange]) -> None:
    for change in changes:
        log_event(
            Event.REPLICA_PACE_LEARNED,
            replica=change.instance_id,
            percent=change.percent,
            before=change.before_percent,
        )
