"""The retries of one request: each is charged to the budget of its service before it is sent."""

import asyncio

from crowsill.gateway.context import ExchangeContext
from crowsill.gateway.exchange_log import ExchangeLog
from crowsill.gateway.progress import Progress

# Counts all attempts; `Route.max_attempts` bounds those that a replica may have run.
MAX_ATTEMPTS = 4


class Retries:
    """The retries of one request."""

    def __init__(self, context: ExchangeContext, progress: Progress, log: ExchangeLog) -> None:
        self._context = context
        self._progress = progress
        self._log = log

    def needs_charge(self) -> bool:
        """Whether the next attempt is a retry that is not charged yet."""
        return self._progress.attempts > 0 and self._progress.retry is None

    async def charge_next(self) -> bool:
        """Charge the next attempt if it is a retry; return False if it is denied."""
        progress = self._progress
        if not self.needs_charge():
            return True
        if progress.attempts >= MAX_ATTEMPTS:
            return False
        budgets, service = self._context.retry_budgets, self._log.service
        progress.retry, result = await budgets.charge(service)
        earned_left = budgets.earned(service).left(asyncio.get_running_loop().time())
        self._log.log_retry(result, earned_left)
        return progress.retry is not None

    def may_charge_next(self) -> bool:
        """Whether the next attempt may be charged, as far as this gateway knows."""
        return self._context.retry_budgets.may_charge(self._log.service)

    def release(self) -> None:
        """Return what was charged for a retry that was not sent."""
        if self._progress.retry is not None:
            self._progress.retry.release()
            self._progress.retry = None
