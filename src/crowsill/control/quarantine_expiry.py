"""Expires the crashes recorded against requests, and quarantines parts of prompts."""

import asyncio
from collections.abc import Awaitable, Callable

from crowsill.clock import wall_s
from crowsill.state.commands import ClearSuspects, ReviewParts
from crowsill.state.crash_record import CrashRecord
from crowsill.transport.messages import Body

EXPIRY_INTERVAL_S = 5.0
REVIEW_INTERVAL_S = 0.2
# While nobody led, gateways could report no part as sound; crashes were kept for the new leader.
# Gateways reconnect and report within this time.
LEADER_SETTLE_S = 1.0


async def expire_suspects(
    record: CrashRecord, submit: Callable[[ClearSuspects], Awaitable[Body]], quarantine_s: float
) -> None:
    """Clear suspects whose last crash is long ago, while this member leads.

    Args:
        record: The crash record, as far as it is applied here.
        submit: Commits a command.
        quarantine_s: Time in seconds after which a crash no longer counts.
    """
    while True:
        await asyncio.sleep(EXPIRY_INTERVAL_S)
        due = record.inactive_since(wall_s() - quarantine_s)
        if due:
            await submit(ClearSuspects(due, "too old"))


async def review_parts(
    record: CrashRecord, submit: Callable[[ReviewParts], Awaitable[Body]], quarantine_s: float
) -> None:
    """Quarantine the parts of prompts that explain enough crashes, while this member leads.

    Args:
        record: The crash record, as far as it is applied here.
        submit: Commits a command.
        quarantine_s: Time in seconds after which a crash no longer counts.
    """
    await asyncio.sleep(LEADER_SETTLE_S)
    while True:
        await asyncio.sleep(REVIEW_INTERVAL_S)
        if record.parts.needs_review(wall_s(), quarantine_s):
            await submit(ReviewParts(quarantine_s))
