"""Processes that know only their seeds find an existing group, whichever processes the seeds are.

All power is lost, and with it the disks of two of five members. The seeds of all processes are
these two members and a process without a disk, so no seed knows the group. Unless the leader
announces the group, every gateway rejects all requests, although a leader is elected at once.
"""

import asyncio

from tests.platform_site import PlatformSite, SimulatedReplica, configuration

MAX_UNSERVED_S = 12.0
MAX_JOIN_S = 8.0


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 90))


def restart_all(site, emptied, seeds_for):
    """Kill every process, erase some disks, and start all processes with other seeds."""
    for machine in site.machines:
        machine.kill()
    for machine in emptied:
        machine.wipe()
        machine.log.write_text("")
    for machine in site.machines:
        machine.seeds = seeds_for(machine)
        machine.start()


async def assert_recovered(site, emptied, version):
    """Check that gateways serve the acknowledged routes and that empty members rejoin the group."""

    async def served():
        for front in site.fronts:
            try:
                status, _ = await site.ask(front, "/pay/x")
            except (OSError, TimeoutError):
                return False
            if status != 200:
                return False
        return True

    await site.until(served, MAX_UNSERVED_S)
    status, content = await site.call_with_body("GET", "/config")
    assert status == 200 and f'"version": {version}'.encode() in content

    async def have_joined():
        return all(" E309 " in machine.log.read_text() for machine in emptied)

    await site.until(have_joined, MAX_JOIN_S)
    # Changes are accepted through each control process, also through those without a disk.
    for number, machine in enumerate(site.redirectors):
        document = configuration(version + 1 + number)

        async def is_accepted(machine=machine, document=document):
            return await site.call("PUT", "/config", document, machine, 4.0) == 200

        await site.until(is_accepted, MAX_UNSERVED_S)


def run_scenario(tmp_path, redirectors, seeds_for):
    """Cut all power and erase the disks of members 3 and 4; `seeds_for` gets site and machine."""
    site = PlatformSite(tmp_path, core=5, fronts=3, redirectors=redirectors)
    site.start()

    async def scenario():
        replica = await SimulatedReplica(site, 1, "till").start()
        assert await site.publish(configuration(1)) == 200
        # By then the processes without a disk have found the group.
        await asyncio.sleep(3.0)
        assert await site.publish(configuration(2)) == 200
        emptied = site.core[3:]
        restart_all(site, emptied, lambda machine: seeds_for(site, machine))
        await assert_recovered(site, emptied, 2)
        await replica.stop()

    try:
        run(scenario())
    finally:
        site.stop()


def test_seeds_with_empty_disks_find_the_group(tmp_path):
    run_scenario(tmp_path, 1, lambda site, _: [*site.core[3:], *site.redirectors])


def test_seeds_without_a_disk_find_the_group(tmp_path):
    run_scenario(tmp_path, 3, lambda site, _: site.redirectors)


def test_seeds_that_are_not_seeds_of_the_members_find_the_group(tmp_path):
    # Settings are written at different times, so members may have other seeds than the rest.
    def seeds_for(site, machine):
        return site.core[:3] if machine in site.core else site.redirectors

    run_scenario(tmp_path, 3, seeds_for)


def test_process_without_a_disk_that_restarts_alone_finds_the_group(tmp_path):
    # After its restart it knows only itself, and the members have other seeds.
    site = PlatformSite(tmp_path, core=3, fronts=1, redirectors=1)
    site.start()
    redirector = site.redirectors[0]

    async def is_reachable():
        return await site.call("GET", "/config", machine=redirector) == 200

    async def scenario():
        assert await site.publish(configuration(1)) == 200
        await site.until(is_reachable)
        redirector.kill()
        redirector.seeds = [redirector]
        redirector.start()
        await site.until(is_reachable, MAX_UNSERVED_S)

    try:
        run(scenario())
    finally:
        site.stop()
