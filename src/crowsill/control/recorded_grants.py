"""Grants units of accounts while this member leads, from a use that the group has recorded.

The sum over all gateways stays bounded whatever happens to them, to the leader, or to the power of
all machines: units are committed to the group's record before they are granted, and a successor
counts them as used (see `tenancy/grant_ledger.py`).
"""

import asyncio
from collections.abc import Callable

from crowsill.clock import monotonic_s
from crowsill.control.driver import ConsensusDriver
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
# Interval at which the leader checks whether the recorded use must be extended.
RECORD_INTERVAL_S = 0.5
# Commits that one request may wait for: the first may have started for another account.
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


class RecordedGrants:
    """The accounts of one kind at one member."""

    def __init__(
        self, bounds: QuotaBounds, use: QuotaUse, is_own: Callable[[str], bool] = lambda _name: True
    ) -> None:
        """Make the accounts.

        Args:
            bounds: Bounds on the sum of the grants of each account to all gateways.
            use: The use recorded by leaders, as far as it is applied here.
            is_own: Whether an account of the record is of this kind.
        """
        self._bounds = bounds
        self._use = use
        self._is_own = is_own
        self._applied_at_s: dict[str, float] = {}
        self._ledger: GrantLedger | None = None
        self._term = 0
        self._recording: asyncio.Task[bool] | None = None

    def on_applied(self, command: RecordQuotaUse) -> None:
        """Note when a record was applied here; the recorded ages grow from that time."""
        now_s = monotonic_s()
        for name in command.units:
            if self._is_own(name):
                self._applied_at_s[name] = now_s

    def on_restored(self) -> None:
        """Forget when records were applied: a snapshot replaced them."""
        self._applied_at_s.clear()

    async def grant(self, account: Tenant, units: float, driver: ConsensusDriver) -> Body:
        """Grant units of an account if this member has the leader's lease.

        Args:
            account: The account; it must have a rate limit.
            units: Requested units.
            driver: This member's consensus driver.
        """
        for _ in range(MAX_RECORDS_PER_REQUEST):
            ledger = self._ledger_of(driver)
            if ledger is None:
                break
            decision = ledger.grant(account, units, monotonic_s())
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
                if self._is_own(name)
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
