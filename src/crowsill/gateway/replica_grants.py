"""A gateway's requests at replicas that name a limit: each is granted by the leader.

The limit is on the sum of what all gateways send, so that no gateway can keep it alone. One that
cannot reach the leader sends such a replica nothing.
"""

import asyncio
from collections.abc import Awaitable, Callable
from weakref import WeakValueDictionary

from crowsill.gateway.replica_registry import ReplicaRecord
from crowsill.metrics import REPLICA_GRANTS
from crowsill.transport.messages import Body, GrantReply
from crowsill.transport.replica_messages import ReplicaGrantRequest

# A question crosses between sites and back within some ms; a lost packet is sent again after 0.2 s.
RESPONSE_TIMEOUT_S = 0.3
NO_LEADER_RETRY_AFTER_S = 0.3
# A replica is left alone for so long at least where it was refused.
MIN_CLOSE_S = 0.05


class ReplicaGrants:
    """Asks for requests at replicas that name a limit."""

    def __init__(
        self,
        query: Callable[[ReplicaGrantRequest, float], Awaitable[Body | None]],
        on_change: Callable[[], None],
    ) -> None:
        """Make it.

        Args:
            query: Sends a question to the group; the reply, or None when there was none within the
                time given.
            on_change: Called when a replica may be asked for again.
        """
        self._query = query
        self._on_change = on_change
        # Held while a question is under way; gone when nobody asks.
        self._query_locks: WeakValueDictionary[str, asyncio.Lock] = WeakValueDictionary()

    async def acquire(self, record: ReplicaRecord, is_urgent: bool) -> float | None:
        """Have one request at a replica granted; wait until it may be sent.

        Args:
            record: The replica.
            is_urgent: Whether the request cannot wait.

        Returns:
            The clock until which it may be sent, which has passed where the limit is over and no
            grant is needed; None when it may not, and the replica is closed for a while.
        """
        loop = asyncio.get_running_loop()
        availability, instance_id = record.availability, record.instance.instance_id
        # One question at a time for each replica: what one is refused holds for all of its kind.
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
        # It took effect after it was asked for, so it is good for at least as long as this.
        return now_s + reply.wait_s + reply.lifetime_s

    def _close(self, record: ReplicaRecord, reply: Body | None, is_urgent: bool) -> None:
        """Leave a replica alone until there may be room for another request of a kind."""
        loop = asyncio.get_running_loop()
        if isinstance(reply, GrantReply):
            REPLICA_GRANTS.labels("refused").inc()
            wait_s = max(MIN_CLOSE_S, reply.wait_s)
        else:
            REPLICA_GRANTS.labels("no_leader").inc()
            wait_s, is_urgent = NO_LEADER_RETRY_AFTER_S, True
        record.availability.close_for_limit(loop.time() + wait_s, is_urgent)
        loop.call_later(wait_s, self._on_change)
