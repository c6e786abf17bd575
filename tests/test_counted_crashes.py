"""Every gateway learns of the crashes that others saw, despite failures of members and leaders.

One request may crash ten replicas while each of nine gateways sees at most one of the crashes. Only
the group knows the count, so it must reach a gateway that saw nothing within 3 s after the third
crash; from then on no gateway may send the request.
"""

import asyncio
import time

from crowsill.model.suspects import CRASH_LIMIT, SuspectRequest
from crowsill.transport.messages import Submitted
from crowsill.transport.replica_messages import ClearRequests, ReportCrash
from tests.control_group import ControlGroup, FollowingGateway, until

# It crashed each replica at once, so each attempt was sent after the previous crash.
CULPRIT = SuspectRequest(b"c" * 16, "r", "h/a", "s", ran_s=0.0)
KNOWN_WITHIN_S = 3.0


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 60))


async def _report(gateway, instance_id):
    while not isinstance(
        await gateway.follower.query(ReportCrash(instance_id, [CULPRIT], 0.0), 0.8), Submitted
    ):
        await asyncio.sleep(0.05)


async def _report_all(*gateways):
    for number in range(CRASH_LIMIT):
        await _report(gateways[number % len(gateways)], f"life-{number}")


def _is_known(gateway):
    return gateway.guard.is_quarantined(CULPRIT.fingerprint)


async def _known(*gateways):
    began_s = time.monotonic()
    await until(lambda: all(_is_known(gateway) for gateway in gateways))
    assert time.monotonic() - began_s < KNOWN_WITHIN_S


async def _play(tmp_path, story):
    group = ControlGroup(tmp_path)
    await group.start()
    await group.publish(1)
    gateways = [FollowingGateway(address) for address in group.addresses]
    for gateway in gateways:
        await gateway.start()
    try:
        await story(group, gateways)
    finally:
        for gateway in gateways:
            await gateway.stop()
        await group.stop()


def test_crashes_seen_by_three_gateways_are_known_to_all_and_to_one_that_starts_later(tmp_path):
    async def story(group, gateways):
        await _report_all(*gateways)
        await _known(*gateways)
        gateways.append(FollowingGateway(group.addresses[0]))
        await gateways[-1].start()
        assert _is_known(gateways[-1]), "it counts as current only with the record"

    run(_play(tmp_path, story))


def test_a_new_leader_continues_the_count(tmp_path):
    async def story(group, gateways):
        await _report(gateways[0], "life-0")
        await _report(gateways[1], "life-1")
        leader = next(number for number, role in enumerate(group.roles) if group._leads(role))
        group.disks.pop(leader)
        await group.roles.pop(leader).stop()
        others = [gateway for number, gateway in enumerate(gateways) if number != leader]
        # A gateway whose member has stopped finds another one by itself.
        await _report(others[0], "life-2")
        await _known(*others)

    run(_play(tmp_path, story))


def test_a_gateway_at_a_member_whose_disk_hangs_learns_of_the_crashes(tmp_path):
    async def story(group, gateways):
        stuck = group.follower_number()
        group.disks[stuck].hang()
        others = [gateway for number, gateway in enumerate(gateways) if number != stuck]
        await _report_all(*others)
        await _known(*gateways)
        group.disks[stuck].resume()

    run(_play(tmp_path, story))


def test_a_complete_response_clears_it_at_every_gateway(tmp_path):
    async def story(_group, gateways):
        await _report_all(*gateways)
        await _known(*gateways)
        cleared = ClearRequests([CULPRIT.fingerprint])
        assert isinstance(await gateways[0].follower.query(cleared, 0.8), Submitted)
        await until(lambda: not any(gateway.guard.has_suspects for gateway in gateways))

    run(_play(tmp_path, story))
