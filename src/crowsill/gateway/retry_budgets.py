"""Charges each retry of a service to what its requests earned here, or to a grant of the leader.

Without a leader only what was earned is spent: no gateway knows what the others spend of the
allowance.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from crowsill.routing.earned_retries import EarnedRetries, RetryBudgetLimits, RetryCharge
from crowsill.transport.messages import Body, GrantReply, GrantRequest

# A round trip between zones takes some ms; a lost packet is retransmitted after 0.2 s.
RESPONSE_TIMEOUT_S = 0.3
# Time for which the leader is not asked again after it gave no answer.
NO_LEADER_PAUSE_S = 0.3
MIN_PAUSE_S = 0.05


class RetryResult(StrEnum):
    """What a retry was charged to, or why it was denied.

    Attributes:
        EARNED: What requests earned at this gateway.
        GRANTED: A grant of the leader.
        DENIED: Neither has any left.
        NO_LEADER: Nothing is earned, and no leader answered.
    """

    EARNED = "earned"
    GRANTED = "granted"
    DENIED = "denied"
    NO_LEADER = "no_leader"


@dataclass(slots=True)
class _ServiceRetries:
    """The retries of one service at this gateway. All times are monotonic, in seconds.

    Attributes:
        earned: Those that its requests earned.
        unused_until_s: Expiries of grants that were returned unsent.
        paused_until_s: Time until which the leader is not asked.
        pause_reason: What a retry is denied for until then.
    """

    earned: EarnedRetries
    unused_until_s: list[float] = field(default_factory=list)
    paused_until_s: float = float("-inf")
    pause_reason: RetryResult = RetryResult.DENIED


class RetryBudgets:
    """The retry budgets of all services at one gateway."""

    def __init__(
        self,
        limits: RetryBudgetLimits,
        started_at_s: float,
        query: Callable[[GrantRequest, float], Awaitable[Body | None]],
    ) -> None:
        """Create the budgets.

        Args:
            limits: The budget of all gateways together, for one service.
            started_at_s: Monotonic time at which the process started.
            query: Sends a request to the control group; returns the reply, or None if there was
                none within the given time.
        """
        self._limits = limits
        self._started_at_s = started_at_s
        self._query = query
        self._services: dict[str, _ServiceRetries] = {}

    def _of(self, service: str) -> _ServiceRetries:
        found = self._services.get(service)
        if found is None:
            found = _ServiceRetries(EarnedRetries(self._limits, self._started_at_s))
            self._services[service] = found
        return found

    def earned(self, service: str) -> EarnedRetries:
        """Return the retries that the requests for a service earned here."""
        return self._of(service).earned

    def may_charge(self, service: str) -> bool:
        """Whether a retry may be charged now, as far as this gateway knows."""
        now_s = asyncio.get_running_loop().time()
        retries = self._of(service)
        return retries.earned.left(now_s) >= 1.0 or now_s >= retries.paused_until_s

    async def charge(self, service: str) -> tuple[RetryCharge | None, RetryResult]:
        """Charge one retry of a service; the charge is None if it is denied."""
        loop = asyncio.get_running_loop()
        retries = self._of(service)
        earned = retries.earned.charge(loop.time())
        if earned is not None:
            return earned, RetryResult.EARNED
        unused = self._take_unused(retries, loop.time())
        if unused is not None:
            return unused, RetryResult.GRANTED
        if loop.time() < retries.paused_until_s:
            return None, retries.pause_reason
        queried_at_s = loop.time()
        reply = await self._query(GrantRequest("", 1.0, service), RESPONSE_TIMEOUT_S)
        if not isinstance(reply, GrantReply):
            return None, self._pause(retries, RetryResult.NO_LEADER, NO_LEADER_PAUSE_S)
        if not reply.is_granted:
            return None, self._pause(retries, RetryResult.DENIED, max(MIN_PAUSE_S, reply.wait_s))
        await asyncio.sleep(reply.wait_s)
        # The grant took effect after the query was sent, so it is valid at least until this time.
        expires_at_s = queried_at_s + reply.wait_s + reply.lifetime_s
        return self._granted(retries, expires_at_s), RetryResult.GRANTED

    def _pause(self, retries: _ServiceRetries, reason: RetryResult, pause_s: float) -> RetryResult:
        """Stop asking the leader for some time; return the reason."""
        retries.paused_until_s = asyncio.get_running_loop().time() + pause_s
        retries.pause_reason = reason
        return reason

    def _granted(self, retries: _ServiceRetries, expires_at_s: float) -> RetryCharge:
        def keep() -> None:
            retries.unused_until_s.append(expires_at_s)

        return RetryCharge(lambda _now_s: None, keep, expires_at_s)

    def _take_unused(self, retries: _ServiceRetries, now_s: float) -> RetryCharge | None:
        """Return a grant that was returned unsent and is still valid."""
        retries.unused_until_s = [at_s for at_s in retries.unused_until_s if at_s > now_s]
        if not retries.unused_until_s:
            return None
        return self._granted(retries, retries.unused_until_s.pop())
