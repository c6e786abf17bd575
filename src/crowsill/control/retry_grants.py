"""Handles gateways' requests for retries beyond those that their own requests earned.

A service may get an allowance of retries in each window, over all gateways together. The leader
grants them one by one, so that the sum holds while gateways start, stop and are cut off, and the
group records them, so that it holds while all machines lose power.
"""

from crowsill.control.driver import ConsensusDriver
from crowsill.control.recorded_grants import RecordedGrants, forward_to_leader
from crowsill.model.tenants import Tenant
from crowsill.routing.earned_retries import GRANTED_PART, RetryBudgetLimits
from crowsill.state.commands import RecordQuotaUse
from crowsill.state.quota_use import QuotaUse
from crowsill.tenancy.grant_ledger import QuotaBounds
from crowsill.transport.connection import Connection
from crowsill.transport.messages import Body, GrantReply, GrantRequest

# Accounts of services stand in one record with those of tenants.
_ACCOUNT_PREFIX = "\x00retries "


def retry_account(service: str) -> str:
    """Return the name of the account of a service's retries in the group's record.

    >>> is_retry_account(retry_account("till")), is_retry_account("till")
    (True, False)
    """
    return _ACCOUNT_PREFIX + service


def is_retry_account(name: str) -> bool:
    """Whether an account of the group's record is one of a service's retries."""
    return name.startswith(_ACCOUNT_PREFIX)


class RetryGrants:
    """Grants retries while this member leads; forwards requests while it follows."""

    def __init__(self, limits: RetryBudgetLimits, use: QuotaUse) -> None:
        """Make the grants of one member.

        Args:
            limits: The retry budget of all gateways together, for one service.
            use: The use recorded by leaders, as far as it is applied here.
        """
        self._grants = RecordedGrants(QuotaBounds(limits.window_s), use, is_retry_account)
        self._window_s = limits.window_s
        self._rate_per_s = GRANTED_PART * limits.allowance / limits.window_s

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
            request: The request for a retry.
            driver: This member's consensus driver.
            leader: Stream to the leader, if there is one.
        """
        if not driver.is_leader:
            return await forward_to_leader(request, driver, leader)
        account = Tenant(retry_account(request.retries_of), rate_per_s=self._rate_per_s)
        if not account.is_limited:
            return GrantReply(False, self._window_s, 0.0)
        return await self._grants.grant(account, request.units, driver)
