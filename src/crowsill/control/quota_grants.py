"""Handles gateways' requests for quota units of tenants."""

from collections.abc import Callable

from crowsill.control.driver import ConsensusDriver
from crowsill.control.recorded_grants import RecordedGrants, forward_to_leader
from crowsill.control.retry_grants import is_retry_account
from crowsill.model.routes import RouteConfiguration
from crowsill.model.tenants import Tenant
from crowsill.state.commands import RecordQuotaUse
from crowsill.state.quota_use import QuotaUse
from crowsill.tenancy.grant_ledger import GRANT_LIFETIME_S, QuotaBounds
from crowsill.transport.connection import Connection
from crowsill.transport.messages import Body, GrantReply, GrantRequest

# A request for a tenant that isn't in the active configuration comes from a gateway that receives
# the configuration within its next heartbeat.
UNKNOWN_TENANT_RETRY_S = 0.5


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
        self._grants = RecordedGrants(bounds, use, lambda name: not is_retry_account(name))
        self._routes = routes
        self._configuration: RouteConfiguration | None = None
        self._tenants: dict[str, Tenant] = {}

    def on_applied(self, command: RecordQuotaUse) -> None:
        """Note that a record was applied here."""
        self._grants.on_applied(command)

    def on_restored(self) -> None:
        """Note that a snapshot replaced the records."""
        self._grants.on_restored()

    async def record_periodically(self, driver: ConsensusDriver) -> None:
        """Commit use before it is granted, while this member leads."""
        await self._grants.record_periodically(driver)

    async def handle(
        self, request: GrantRequest, driver: ConsensusDriver, leader: Connection | None
    ) -> Body:
        """Handle a gateway's request, through the leader if another member leads.

        Args:
            request: The request for quota units.
            driver: This member's consensus driver.
            leader: Stream to the leader, if there is one.
        """
        if not driver.is_leader:
            return await forward_to_leader(request, driver, leader)
        tenant = self._tenant(request.tenant)
        if tenant is None:
            return GrantReply(False, UNKNOWN_TENANT_RETRY_S, 0.0)
        if not tenant.is_limited:
            return GrantReply(True, 0.0, GRANT_LIFETIME_S)
        return await self._grants.grant(tenant, request.units, driver)

    def _tenant(self, name: str) -> Tenant | None:
        configuration = self._routes()
        if configuration is not self._configuration and configuration is not None:
            self._configuration = configuration
            self._tenants = {tenant.name: tenant for tenant in configuration.tenants}
        return self._tenants.get(name)
