"""Requests that many callers send alike, where gateways start again and know nothing of them."""

import asyncio

import msgspec

from crowsill.control.crash_commands import to_crash_command
from crowsill.model.instances import Instance
from crowsill.model.suspects import CRASH_LIMIT
from crowsill.state.machine import StateMachine
from tests.crash_world import Port, Watched, suspect
from tests.gateway_world import LOCAL, run

CROWD = b"crowd"
CULPRIT = b"culprit"
LONGEST_SETTLING_S = 10.0


class Group:
    """Applies what gateways tell, and passes on to them what that changes."""

    def __init__(self):
        self.machine = StateMachine()
        self.clock_s = 100.0
        self.gateways = []

    def start_gateway(self):
        """Start a gateway that remembers nothing, and is told all that is recorded."""
        gateway = Watched()
        gateway.watch.adopt(self.machine.crashes.full_change(), True)
        self.gateways.append(gateway)
        return gateway

    async def settle(self):
        """Wait until gateways have told what they saw, and apply it."""
        async with asyncio.timeout(LONGEST_SETTLING_S):
            while any(gateway.watch.has_pending_reports for gateway in self.gateways):
                await asyncio.sleep(0.01)
        for gateway in self.gateways:
            told, gateway.told = gateway.told, []
            for question in told:
                note = msgspec.structs.replace(to_crash_command(question), at_s=self.clock_s)
                if self.machine.apply(note).accepted:
                    for each in self.gateways:
                        each.watch.adopt(self.machine.crashes.last_change, False)


async def end_under(group, gateway, life, *fingerprints):
    """A replica ends while a gateway's requests run there, one of each fingerprint."""
    port = await Port().open()
    port.end()
    instance = Instance(life, "s", f"{LOCAL}:{port.port}", "z", 8)
    for fingerprint in fingerprints:
        gateway.watch.note_broken_response(instance, suspect(fingerprint))
    await gateway.watch.has_crashed(life)
    await group.settle()
    group.clock_s += 1.0


def test_a_crowd_whose_gateways_all_start_again_is_not_held_back_for_the_ends_of_others():
    """All gateways were killed within six seconds, and replicas ended under a request beside it.

    What many callers had sent with one body, and had been answered whole thousands of times, then
    ran at three ends with no whole answer between them, two of them of other causes ("E508
    crash_recorded replica=i-3@...9896", "...i-3@...1177", "...i-2@...2784", then "E509
    request_quarantined place=shop.example/once/x"), and 15 of its callers were refused. The gateway
    that had seen it end whole had said nothing of that as the first replica ended, and its memory
    went with its process; the ends were on all members' disks.
    """

    async def scenario():
        group = Group()
        first = group.start_gateway()
        first.watch.note_success(CROWD)
        await end_under(group, first, "i-1", CROWD, CULPRIT)
        await first.watch.stop()
        group.gateways.clear()
        second = group.start_gateway()
        await end_under(group, second, "i-2", CROWD)
        await end_under(group, second, "i-3", CROWD, CULPRIT)
        await end_under(group, second, "i-4", CROWD)
        await end_under(group, second, "i-5", CULPRIT)
        assert not second.guard.is_quarantined(CROWD)
        assert second.guard.is_quarantined(CULPRIT)
        assert len(group.machine.crashes.find(CULPRIT).crashed_instances) >= CRASH_LIMIT
        await second.watch.stop()

    run(scenario())
