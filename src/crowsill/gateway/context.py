"""The interface through which an exchange uses the shared state of the gateway process."""

from random import Random
from typing import Protocol

from crowsill.gateway.brittle_replicas import BrittleReplicas
from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.crash_watch import CrashWatch
from crowsill.gateway.demand import DemandReporter
from crowsill.gateway.fingerprint import Fingerprints
from crowsill.gateway.headers import HeaderNames
from crowsill.gateway.peers.peers import Peers
from crowsill.gateway.pool import ConnectionPool
from crowsill.gateway.quota import QuotaGrantClient
from crowsill.gateway.replica_grants import ReplicaGrants
from crowsill.gateway.replica_registry import ReplicaRecord, ReplicaRegistry
from crowsill.gateway.replica_watch import ReplicaWatch
from crowsill.gateway.retry_budgets import RetryBudgets
from crowsill.gateway.routing_table import GatewayRoutingTable
from crowsill.gateway.shared_admission import SharedAdmission
from crowsill.gateway.stream_origins import GatewayStreamOrigins
from crowsill.gateway.suspect_runs import SuspectRunClient
from crowsill.gateway.wait_turns import WaitTurns


class ExchangeContext(Protocol):
    """Shared state and services of a gateway process; implemented by `GatewayRole`."""

    names: HeaderNames
    zone: str
    registry: ReplicaRegistry
    pool: ConnectionPool
    random: Random
    quota_grants: QuotaGrantClient
    replica_grants: ReplicaGrants
    demand: DemandReporter
    fingerprints: Fingerprints
    crash_guard: CrashGuard
    crash_watch: CrashWatch
    suspect_runs: SuspectRunClient
    peers: Peers
    replica_watch: ReplicaWatch
    turns: WaitTurns | None
    shared_admission: SharedAdmission | None
    stream_origins: GatewayStreamOrigins
    retry_budgets: RetryBudgets

    @property
    def revocation_s(self) -> float:
        """Seconds after which a revoked API key is rejected everywhere; 0 for no bound."""

    def proof_age_s(self) -> float:
        """Seconds since the heartbeat that last confirmed current state; infinite before one."""

    @property
    def table(self) -> GatewayRoutingTable | None:
        """The routes in effect; None before they were confirmed as current."""

    @property
    def gateways(self) -> int:
        """Highest number of live gateways lately (see `GatewayCount`)."""

    def is_stopping(self) -> bool:
        """Whether connections close after their current response."""

    def wait_limit_at_s(self) -> float:
        """Monotonic time after which no request waits for a replica; infinite before a shutdown.

        Another gateway can serve the caller.
        """

    def stop_limit_at_s(self) -> float:
        """Monotonic time at which a shutdown ends requests in flight; infinite before one."""

    def brittle(self, service: str) -> BrittleReplicas:
        """Return the brittle replicas of a service."""

    def on_draining(self, record: ReplicaRecord) -> None:
        """Report to the group that a replica drains, until the group has recorded it."""

    def on_limit_changed(self, record: ReplicaRecord) -> None:
        """Report to the group that a replica changed, added or withdrew its rate limit."""

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Wait for a change of the directory or the routes; return whether there was one."""
