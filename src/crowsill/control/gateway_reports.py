"""What gateways and entries tell a member in their heartbeats, and what it passes on of that."""

from crowsill.control.gateway_use import GatewayUse
from crowsill.control.replica_grants import ReplicaGrants
from crowsill.control.subscribers import DemandCounter, LiveEntries
from crowsill.model.replica_use import UseByReplica
from crowsill.transport.messages import Heartbeat


class GatewayReports:
    """What those that follow one member have told it.

    Attributes:
        live_entries: Entries heard of lately, here or through followers.
        demand: Requests by resource, to be collected by the leader or passed on to it.
        urgent: Those of them that have a short target.
        pressed: Those whose first event took most of their target, or that found no place.
        use: What gateways have at replicas.
        replica_grants: Limits that replicas name, and what is granted under them.
    """

    def __init__(self) -> None:
        self.live_entries = LiveEntries()
        self.demand = DemandCounter()
        self.urgent = DemandCounter()
        self.pressed = DemandCounter()
        self.use = GatewayUse()
        self.replica_grants = ReplicaGrants()

    def note(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Take in who is there and what is asked for; `use` is told with its source."""
        self.live_entries.note(heartbeat.entries, now_s)
        self.demand.add(heartbeat.demand)
        self.urgent.add(heartbeat.urgent)
        self.pressed.add(heartbeat.pressed)
        self.replica_grants.note(heartbeat.limits)

    def total_use(self, is_leader: bool, now_s: float) -> UseByReplica | None:
        """Return what all gateways have at replicas, as far as this member knows it."""
        return self.use.sum(now_s) if is_leader else self.use.total(now_s)

    def make_heartbeat(
        self, leader: object, fleet_position: tuple[int, int], now_s: float
    ) -> Heartbeat:
        """Return what a member that follows asks the leader, for all who follow it.

        Many questions go out in a second, and what the followers say of themselves is the most of
        one: it goes with a few of them.

        Args:
            leader: The stream to the leader.
            fleet_position: Epoch and sequence of the member's fleet view.
            now_s: Clock.
        """
        is_due = self.use.is_due(leader, now_s)
        return Heartbeat(
            *fleet_position,
            entries=self.live_entries.live(now_s) if is_due else [],
            demand=self.demand.collect(),
            follows_configuration=False,
            urgent=self.urgent.collect(),
            pressed=self.pressed.collect(),
            in_use=self.use.sum(now_s) if is_due else None,
            limits=self.replica_grants.told() if is_due else [],
        )
