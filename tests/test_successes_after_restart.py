"""Identical requests of many callers when gateways restart and have lost their successes."""

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
MAX_SETTLING_S = 10.0


class Group:
    """Applies the reports of gateways and sends them the resulting changes."""

    def __init__(self):
        self.machine = StateMachine()
        self.clock_s = 100.0
        self.gateways = []

    def start_gateway(self):
        """Start a gateway without state and give it the full crash record."""
        gateway = Watched()
        gateway.watch.adopt(self.machine.crashes.full_change(), True)
        self.gateways.append(gateway)
        return gateway

    async def settle(self):
        """Wait until all gateways have sent their reports, and apply them."""
        async with asyncio.timeout(MAX_SETTLING_S):
            while any(gateway.watch.has_pending_reports for gateway in self.gateways):
                await asyncio.sleep(0.01)
        for gateway in self.gateways:
            reported, gateway.reported = gateway.reported, []
            for message in reported:
                note = msgspec.structs.replace(to_crash_command(message), at_s=self.clock_s)
                if self.machine.apply(note).accepted:
                    for each in self.gateways:
                        each.watch.adopt(self.machine.crashes.last_change, False)


async def crash_under(group, gateway, instance_id, *fingerprints):
    """Crash a replica while it runs requests of a gateway, one of each fingerprint."""
    port = await Port().open()
    port.crash()
    instance = Instance(instance_id, "s", f"{LOCAL}:{port.port}", "z", 8)
    for fingerprint in fingerprints:
        gateway.watch.note_broken_response(instance, suspect(fingerprint))
    await gateway.watch.has_crashed(instance_id)
    await group.settle()
    group.clock_s += 1.0


def test_a_crowd_whose_gateways_all_restart_is_not_quarantined_for_crashes_of_others():
    """A crowd must stay clear even if all gateways that saw it succeed are killed.

    Identical requests that succeeded thousands of times run at three crashes with no success in
    between, two of them of other causes. If the first gateway doesn't report their success at the
    first crash, it is lost with its process, while the crashes stay on all members' disks.
    """

    async def scenario():
        group = Group()
        first = group.start_gateway()
        first.watch.note_success(CROWD)
        await crash_under(group, first, "i-1", CROWD, CULPRIT)
        await first.watch.stop()
        group.gateways.clear()
        second = group.start_gateway()
        await crash_under(group, second, "i-2", CROWD)
        await crash_under(group, second, "i-3", CROWD, CULPRIT)
        await crash_under(group, second, "i-4", CROWD)
        await crash_under(group, second, "i-5", CULPRIT)
        assert not second.guard.is_quarantined(CROWD)
        assert second.guard.is_quarantined(CULPRIT)
        assert len(group.machine.crashes.find(CULPRIT).crashed_instances) >= CRASH_LIMIT
        await second.watch.stop()

    run(scenario())
