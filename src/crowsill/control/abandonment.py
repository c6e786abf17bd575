"""Claims whose holder has vanished: their outcome is lost for good."""

import asyncio

from crowsill.clock import monotonic_s
from crowsill.control.driver import ConsensusDriver
from crowsill.control.service import MemberService
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.state.commands import AbandonHolders
from crowsill.state.machine import StateMachine

# An entry that was cut off comes back, or restarts under another name, well within this.
ABANDON_AFTER_S = 30.0
ABANDON_CHECK_S = 1.0


async def abandon_lost_claims(
    service: MemberService, machine: StateMachine, driver: ConsensusDriver
) -> None:
    """Declare the open claims of entries unheard of for long to be of unknown outcome.

    Runs on the leader until cancelled.
    """
    last_seen_s: dict[str, float] = {}
    while True:
        await asyncio.sleep(ABANDON_CHECK_S)
        now_s = monotonic_s()
        live = {status.incarnation for status in service.reports.live_entries.live(now_s)}
        holders = machine.claims.open_holders()
        last_seen_s = {
            holder: now_s if holder in live else last_seen_s.get(holder, now_s)
            for holder in holders
        }
        vanished = [
            holder for holder, seen_s in last_seen_s.items() if now_s - seen_s > ABANDON_AFTER_S
        ]
        if vanished:
            log_event(Event.CLAIM_ABANDONED, holders=",".join(vanished))
            await driver.submit(AbandonHolders(vanished, 0.0))
