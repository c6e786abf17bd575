"""The port through which an exchange reaches what the gateway's process shares."""

from random import Random
from typing import Protocol

from crowsill.gateway.crash_guard import CrashGuard
from crowsill.gateway.crash_watch import CrashWatch
from crowsill.gateway.demand import DemandReporter
from crowsill.gateway.fingerprint import Fingerprints
from crowsill.gateway.headers import HeaderNames
from crowsill.gateway.pool import ConnectionPool
from crowsill.gateway.quota import GrantClient
from crowsill.gateway.replica_grants import ReplicaGrants
from crowsill.gateway.replica_registry import ReplicaRecord, ReplicaRegistry
from crowsill.gateway.routing_table import GatewayRoutingTable
from crowsill.routing.shared_budget import SharedBudget


class ExchangeContext(Protocol):
    """What an exchange works with; the gateway's role provides it."""

    names: HeaderNames
    zone: str
    registry: ReplicaRegistry
    pool: ConnectionPool
    random: Random
    grants: GrantClient
    replica_grants: ReplicaGrants
    demand: DemandReporter
    fingerprints: Fingerprints
    crash_guard: CrashGuard
    crash_watch: CrashWatch

    @property
    def revocation_s(self) -> float:
        """Time after which a key that was taken away runs nothing; 0 for no bound."""

    def proof_age_s(self) -> float:
        """Time since this process asked what is current and was told; infinite before."""

    @property
    def table(self) -> GatewayRoutingTable | None:
        """The routes in force; None before the first configuration."""

    @property
    def gateways(self) -> int:
        """Number of live gateways."""

    def is_stopping(self) -> bool:
        """Whether connections end after their present answer."""

    def wait_limit_at_s(self) -> float:
        """Clock after which no request is held: a process that stops passes callers on."""

    def stop_limit_at_s(self) -> float:
        """Clock at which a process that stops ends what still runs; infinite before."""

    def budget(self, service: str) -> SharedBudget:
        """Return the retry budget of a service."""

    def on_unreachable(self, record: ReplicaRecord) -> None:
        """No connection could be made: use the replica again only when one can be."""

    def on_backoff(self, record: ReplicaRecord) -> None:
        """A replica asked for rest: look again when that is over."""

    def on_draining(self, record: ReplicaRecord) -> None:
        """A replica said that it leaves: tell the group until that knows."""

    def on_limit_changed(self, record: ReplicaRecord) -> None:
        """A replica named a limit, another one or none any more: tell the group."""

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Wait for a change of the directory or the routes; return whether one came."""
