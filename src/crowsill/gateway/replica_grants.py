"""Requests grants for replicas that advertise a rate limit; the leader grants each request.

The limit is on the sum of the requests of all gateways, so no gateway can enforce it alone. A
gateway that cannot reach the leader sends nothing to such a replica.
"""

import asyncio
from collections.abc import Awaitable, Callable
from weakref import WeakValueDictionary

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.metrics import REPLICA_GRANTS
from crowsill.transport.messages import Body, GrantReply
from crowsill.transport.replica_messages import ReplicaGrantRequest

# A round trip between zones takes some ms; a lost packet is retransmitted after 0.2 s.
RESPONSE_TIMEOUT_S = 0.3
NO_LEADER_RETRY_AFTER_S = 0.3
# Minimum time for which a replica is closed after a rejection.
MIN_CLOSE_S = 0.05


class ReplicaGrants:
    """Requests grants for replicas that advertise a rate limit."""

    def __init__(
        self,
        query: Callable[[ReplicaGrantRequest, float], Awaitable[Body | None]],
        on_change: Callable[[], None],
    ) -> None:
        """Create it.

        Args:
            query: Sends a request to the control group; returns the reply, or None if there was
                none within the given time.
            on_change: Called when a closed replica may have capacity again.
        """
        self._query = query
        self._on_change = on_change
        # Locks exist while a query is in progress; an unused lock is garbage collected.
        self._query_locks: WeakValueDictionary[str, asyncio.Lock] = WeakValueDictionary()

    async def acquire(self, record: ReplicaRecord, is_urgent: bool) -> float | None:
        """Request a grant for one request at a replica and wait until it may be sent.

        Args:
            record: The replica.
            is_urgent: Whether the request cannot wait.

        Returns:
            The monotonic time until which it may be sent, in seconds; minus infinity if no limit is
            in effect and no grant is needed. None if it may not be sent; the replica is then closed
            for some time.
        """
        loop = asyncio.get_running_loop()
        availability, instance_id = record.availability, record.instance.instance_id
        # One query at a time per replica: a rejection applies to all waiting requests of the same
        # kind.
        lock = self._query_locks.setdefault(instance_id, asyncio.Lock())
        async with lock:
            now_s = loop.time()
            if not availability.limit.is_in_effect(now_s):
                return float("-inf")
            if availability.is_closed_indefinitely or now_s < availability.opens_at_s(is_urgent):
                return None
            report = availability.limit.to_report(instance_id, now_s)
            reply = await self._query(ReplicaGrantRequest(report, is_urgent), RESPONSE_TIMEOUT_S)
            if not isinstance(reply, GrantReply) or not reply.is_granted:
                self._close(record, reply, is_urgent)
                return None
        REPLICA_GRANTS.labels("granted").inc()
        await asyncio.sleep(reply.wait_s)
        # The grant took effect after the query was sent, so it is valid at least until this time.
        return now_s + reply.wait_s + reply.lifetime_s

    def _close(self, record: ReplicaRecord, reply: Body | None, is_urgent: bool) -> None:
        """Close a replica until it may have capacity for another request of the same kind."""
        loop = asyncio.get_running_loop()
        if isinstance(reply, GrantReply):
            REPLICA_GRANTS.labels("refused").inc()
            wait_s = max(MIN_CLOSE_S, reply.wait_s)
        else:
            REPLICA_GRANTS.labels("no_leader").inc()
            wait_s, is_urgent = NO_LEADER_RETRY_AFTER_S, True
        record.availability.close_for_limit(loop.time() + wait_s, is_urgent)
        loop.call_later(wait_s, self._on_change)
