"""Abandons claims whose holder is lost: their outcome can no longer be known."""

import asyncio

from crowsill.clock import monotonic_s
from crowsill.control.driver import ConsensusDriver
from crowsill.control.service import MemberService
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.state.commands import AbandonHolders
from crowsill.state.machine import StateMachine

# An entry that was cut off reconnects, or restarts under another name, well within this time.
ABANDON_AFTER_S = 30.0
ABANDON_CHECK_INTERVAL_S = 1.0


async def abandon_lost_claims(
    service: MemberService, machine: StateMachine, driver: ConsensusDriver
) -> None:
    """Mark the open claims of entries that have long been silent as of unknown outcome.

    Runs on the leader until cancelled.
    """
    last_seen_at_s: dict[str, float] = {}
    while True:
        await asyncio.sleep(ABANDON_CHECK_INTERVAL_S)
        now_s = monotonic_s()
        live = {status.incarnation for status in service.reports.live_entries.live(now_s)}
        holders = machine.claims.open_holders()
        last_seen_at_s = {
            holder: now_s if holder in live else last_seen_at_s.get(holder, now_s)
            for holder in holders
        }
        lost_holders = [
            holder
            for holder, seen_at_s in last_seen_at_s.items()
            if now_s - seen_at_s > ABANDON_AFTER_S
        ]
        if lost_holders:
            log_event(Event.CLAIM_ABANDONED, holders=",".join(lost_holders))
            await driver.submit(AbandonHolders(lost_holders, 0.0))
