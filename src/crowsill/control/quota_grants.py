"""Handles gateways' requests for quota units of tenants."""

import asyncio
from collections.abc import Callable

from crowsill.clock import monotonic_s
from crowsill.control.driver import ConsensusDriver
from crowsill.model.routes import RouteConfiguration
from crowsill.model.tenants import Tenant
from crowsill.state.commands import RecordQuotaUse
from crowsill.state.quota_use import QuotaUse
from crowsill.tenancy.grant_ledger import (
    GRANT_LIFETIME_S,
    GrantLedger,
    InheritedUse,
    QuotaBounds,
)
from crowsill.transport.connection import Connection, ConnectionLostError
from crowsill.transport.messages import Body, GrantReply, GrantRequest, NotLeader, Submitted
from crowsill.transport.replica_messages import ReplicaGrantRequest

FORWARD_TIMEOUT_S = 0.8
# A request for a tenant that isn't in the active configuration comes from a gateway that receives
# the configuration within its next heartbeat.
UNKNOWN_TENANT_RETRY_S = 0.5
# Interval at which the leader checks whether the recorded use must be extended.
RECORD_INTERVAL_S = 0.5
# Commits that one request may wait for: the first may have started for another tenant.
MAX_RECORDS_PER_REQUEST = 3


async def forward_to_leader(
    request: GrantRequest | ReplicaGrantRequest, driver: ConsensusDriver, leader: Connection | None
) -> Body:
    """Forward a gateway's request to the leader.

    Args:
        request: The request for a grant.
        driver: This member's consensus driver.
        leader: Stream to the leader, if there is one.
    """
    if leader is None or leader.is_closed:
        return NotLeader(driver.leader_address())
    try:
        return await leader.request(request, FORWARD_TIMEOUT_S)
    except ConnectionLostError:
        return NotLeader(None)


class QuotaGrants:
    """Grants quota units while this member leads; forwards requests while it follows."""

    def __init__(
        self,
        bounds: QuotaBounds,
        use: QuotaUse,
        routes: Callable[[], RouteConfiguration | None],
    ) -> None:
        """Make the grants of one member.

        Args:
            bounds: Bounds on the sum of the grants to all gateways.
            use: The use recorded by leaders, as far as it is applied here.
            routes: Returns the active configuration.
        """
        self._bounds = bounds
        self._use = use
        self._routes = routes
        self._configuration: RouteConfiguration | None = None
        self._tenants: dict[str, Tenant] = {}
        self._applied_at_s: dict[str, float] = {}
        self._ledger: GrantLedger | None = None
        self._term = 0
        self._recording: asyncio.Task[bool] | None = None

    def on_applied(self, command: RecordQuotaUse) -> None:
        """Note when a record was applied here; the recorded ages grow from that time."""
        now_s = monotonic_s()
        for name in command.units:
            self._applied_at_s[name] = now_s

    def on_restored(self) -> None:
        """Forget when records were applied: a snapshot replaced them."""
        self._applied_at_s.clear()

    async def handle(
        self, request: GrantRequest, driver: ConsensusDriver, leader: Connection | None
    ) -> Body:
        """Handle a gateway's request, through the leader if another member leads.

        Args:
            request: The request for quota units.
            driver: This member's consensus driver.
            leader: Stream to the leader, if there is one.
        """
        if driver.is_leader:
            return await self._grant(request, driver)
        return await forward_to_leader(request, driver, leader)

    async def _grant(self, request: GrantRequest, driver: ConsensusDriver) -> Body:
        tenant = self._tenant(request.tenant)
        if tenant is None:
            return GrantReply(False, UNKNOWN_TENANT_RETRY_S, 0.0)
        if not tenant.is_limited:
            return GrantReply(True, 0.0, GRANT_LIFETIME_S)
        for _ in range(MAX_RECORDS_PER_REQUEST):
            ledger = self._ledger_of(driver)
            if ledger is None:
                break
            decision = ledger.grant(tenant, request.units, monotonic_s())
            if decision is None:
                await self._record(driver)
                continue
            # The lease is checked after the units are taken: a leader suspended before this line
            # may have a successor that grants the same units.
            if not driver.has_lease():
                break
            return GrantReply(decision.is_granted, decision.wait_s, GRANT_LIFETIME_S)
        return NotLeader(None)

    def _ledger_of(self, driver: ConsensusDriver) -> GrantLedger | None:
        """Return the grant ledger of this term; None without a lease."""
        if not driver.has_lease():
            return None
        if self._ledger is None or self._term != driver.node.term:
            now_s = monotonic_s()
            inherited = {
                name: InheritedUse(units, self._applied_at_s.get(name, now_s))
                for name, units in self._use.units.items()
            }
            self._ledger = GrantLedger(self._bounds, inherited, now_s)
            self._term = driver.node.term
        return self._ledger

    async def record_periodically(self, driver: ConsensusDriver) -> None:
        """Commit use before it is granted, while this member leads."""
        while True:
            await asyncio.sleep(RECORD_INTERVAL_S)
            if self._ledger_of(driver) is not None:
                await self._record(driver)

    async def _record(self, driver: ConsensusDriver) -> None:
        """Commit the use that is due; concurrent requests share the commit."""
        if self._recording is None or self._recording.done():
            self._recording = asyncio.create_task(self._commit(driver))
        await asyncio.shield(self._recording)

    async def _commit(self, driver: ConsensusDriver) -> bool:
        ledger = self._ledger_of(driver)
        due = {} if ledger is None else ledger.due(monotonic_s())
        if ledger is None or not due:
            return False
        reply = await driver.submit(RecordQuotaUse(due))
        if isinstance(reply, Submitted):
            ledger.note_recorded(due)
        return isinstance(reply, Submitted)

    def _tenant(self, name: str) -> Tenant | None:
        configuration = self._routes()
        if configuration is not self._configuration and configuration is not None:
            self._configuration = configuration
            self._tenants = {tenant.name: tenant for tenant in configuration.tenants}
        return self._tenants.get(name)
