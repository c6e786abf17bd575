"""Processes that know nothing but seeds find a group that stands, whoever the seeds are.

What happened: after a loss of power of all machines, in which two of five members lost their disks
as well, every gateway refused every request until the end of the day, although the three other
members had elected a leader within 0.2 s.

The sequence: a turnover had made seeds of the two members and of a control process without a disk.
All three came back without any memory. Gateways, the blank members and the process without a disk
asked nobody but these three, each of which knew no leader; the members that did know the group
waited to be asked.

What settled it: E300 of the new leader, no E312 (leader found) from the process without a disk any
more, no E309 (a member joins) from the blank members, and E201 "no configuration is known yet" from
all gateways. With the first members as seeds the same losses were over within two seconds.
"""

import asyncio

from tests.platform_site import PlatformSite, StandInReplica, configuration

SERVED_WITHIN_S = 12.0
JOINED_WITHIN_S = 8.0


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 90))


def restart_all(site, lost, seeds_of):
    """Kill every process, lose the disks of some, and start all with other seeds."""
    for machine in site.machines:
        machine.kill()
    for machine in lost:
        machine.wipe()
        machine.log.write_text("")
    for machine in site.machines:
        machine.seeds = seeds_of(machine)
        machine.start()


async def assert_found_again(site, lost, version):
    """Every gateway serves what was acknowledged, and the blank members belong to the group."""

    async def served():
        for front in site.fronts:
            try:
                status, _ = await site.ask(front, "/pay/x")
            except (OSError, TimeoutError):
                return False
            if status != 200:
                return False
        return True

    await site.until(served, SERVED_WITHIN_S)
    status, content = await site.call_whole("GET", "/config")
    assert status == 200 and f'"version": {version}'.encode() in content

    async def joined():
        return all(" E309 " in machine.log.read_text() for machine in lost)

    await site.until(joined, JOINED_WITHIN_S)
    # Changes go on through each control process, those without a disk included.
    for number, machine in enumerate(site.redirectors):
        document = configuration(version + 1 + number)

        async def taken(machine=machine, document=document):
            return await site.call("PUT", "/config", document, machine, 4.0) == 200

        await site.until(taken, SERVED_WITHIN_S)


def play(tmp_path, redirectors, seeds_of):
    """Lose all power and the disks of members 3 and 4; `seeds_of` gets the site and a machine."""
    site = PlatformSite(tmp_path, core=5, fronts=3, redirectors=redirectors)
    site.start()

    async def scenario():
        replica = await StandInReplica(site, 1, "till").start()
        assert await site.publish(configuration(1)) == 200
        # Processes without a disk have found the group by then.
        await asyncio.sleep(3.0)
        assert await site.publish(configuration(2)) == 200
        lost = site.core[3:]
        restart_all(site, lost, lambda machine: seeds_of(site, machine))
        await assert_found_again(site, lost, 2)
        await replica.stop()

    try:
        run(scenario())
    finally:
        site.stop()


def test_seeds_that_lost_their_disks_are_told_where_the_group_is(tmp_path):
    play(tmp_path, 1, lambda site, _: [*site.core[3:], *site.redirectors])


def test_seeds_without_a_disk_are_told_where_the_group_is(tmp_path):
    play(tmp_path, 3, lambda site, _: site.redirectors)


def test_seeds_that_members_do_not_have_in_their_settings_are_told(tmp_path):
    # Settings are written at different moments: members may name others than the rest does.
    def seeds_of(site, machine):
        return site.core[:3] if machine in site.core else site.redirectors

    play(tmp_path, 3, seeds_of)


def test_a_process_without_a_disk_that_restarts_alone_is_told(tmp_path):
    # It was in touch until then, and knows nobody but itself: members have other seeds.
    site = PlatformSite(tmp_path, core=3, fronts=1, redirectors=1)
    site.start()
    beside = site.redirectors[0]

    async def answers():
        return await site.call("GET", "/config", machine=beside) == 200

    async def scenario():
        assert await site.publish(configuration(1)) == 200
        await site.until(answers)
        beside.kill()
        beside.seeds = [beside]
        beside.start()
        await site.until(answers, SERVED_WITHIN_S)

    try:
        run(scenario())
    finally:
        site.stop()
