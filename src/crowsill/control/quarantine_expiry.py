"""Expires the crashes recorded against requests."""

import asyncio
from collections.abc import Awaitable, Callable

from crowsill.clock import wall_s
from crowsill.state.commands import ClearSuspects
from crowsill.state.crash_record import CrashRecord
from crowsill.transport.messages import Body

EXPIRY_INTERVAL_S = 5.0


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
