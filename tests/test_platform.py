"""The real programs on a small site of the users' platform, started as in the deploy file."""

import asyncio
import copy
import json
import re
from pathlib import Path

import pytest

from tests.platform_site import DEPLOY, ROOT, PlatformSite, SimulatedReplica, configuration

PLATFORM_NAMES = re.compile(
    r"x-crowsill-|CROWSILL_CONFIG\b|beatAddr|beat_addr|pathPrefix|weightsMb|innerPorts|"
    r"crowsill_platform|/order\b|boot\.toml",
    re.IGNORECASE,
)


def test_the_product_contains_no_names_of_the_platform():
    for path in (ROOT / "src").rglob("*.py"):
        found = PLATFORM_NAMES.search(path.read_text())
        assert found is None, f"{path}: {found}"


def test_the_platform_folder_does_not_shadow_the_standard_library():
    assert not (ROOT / "platform" / "__init__.py").exists()
    for role in DEPLOY["roles"].values():
        assert Path(ROOT / role["run"].split()[-1]).is_file()


@pytest.fixture
def site(tmp_path):
    made = PlatformSite(tmp_path)
    made.start()
    yield made
    made.stop()


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 90))


def served(site, path, headers=None):
    """Return the condition that every gateway serves a path."""

    async def holds():
        for front in site.fronts:
            try:
                status, _ = await site.ask(front, path, headers)
            except (OSError, TimeoutError):
                return False
            if status != 200:
                return False
        return True

    return holds


def broken_documents():
    """Return an example of each kind of document that must be rejected."""

    def changed(change):
        document = copy.deepcopy(configuration(50))
        change(document)
        return document

    def same_place(document):
        document["routes"].append({**document["routes"][0], "name": "again"})

    def no_weight(document):
        del document["routes"][0]["service"]
        document["routes"][0]["split"] = [{"service": "till", "weight": 0}]

    return {
        "cut short": json.dumps(configuration(50)).encode()[:-20],
        "unknown service": changed(lambda item: item["routes"][0].update(service="nobody")),
        "same place": changed(same_place),
        "no weight": changed(no_weight),
        "no time-out": changed(lambda item: item["routes"][0].update(timeoutMs=0)),
        "unknown kind": changed(lambda item: item["routes"][0].update(kind="maybe")),
        "no version": changed(lambda item: item.pop("version")),
    }


def test_operation_without_faults(site):
    async def scenario():
        till = await SimulatedReplica(site, 1, "till").start()
        engine = await SimulatedReplica(site, 2, "models", ["m0", "m1"]).start()
        assert await site.publish(configuration(3)) == 200
        await site.until(served(site, "/pay/x"))

        # Every member returns the document as published; older or repeated versions change nothing.
        assert await site.publish(configuration(3)) == 200
        assert await site.publish(configuration(2, routes=[])) == 200
        sent = json.dumps(configuration(3)).encode()
        for machine in site.core:
            # A member that cannot prove that its version is the newest responds 503 for a while.
            status, content = 0, b""
            for _ in range(30):
                status, content = await site.call_with_body("GET", "/config", machine=machine)
                if status:
                    break
                await asyncio.sleep(0.1)
            assert (status, content) == (200, sent)

        # Invalid documents are rejected and never take effect.
        for name, document in broken_documents().items():
            assert 400 <= await site.publish(document) < 500, name
        _, content = await site.call_with_body("GET", "/config")
        assert content == sent
        assert await site.call("PUT", "/instances/i-9", {"service": 1}) == 400

        # A model that is not loaded anywhere, and its adapter, are loaded for the request.
        status, body = await site.ask(
            site.fronts[0], "/draft/x", {"X-Crowsill-Model": "m3/a1"}, b"hello"
        )
        assert (status, body) == (200, b"hello!")
        assert "m3" in engine.models and "a1" in engine.adapters["m3"]
        orders = engine.orders
        assert len({order["fence"] for order in orders}) == 1
        assert len({order["holder"] for order in orders}) == 1
        assert all("expect" in order for order in orders)

        # A newer version takes effect at every gateway; an unknown path is rejected.
        document = configuration(9)
        document["routes"][0]["pathPrefix"] = "/pay2/"
        assert await site.publish(document) == 200
        await site.until(served(site, "/pay2/x"), within_s=2.0)
        for front in site.fronts:
            assert (await site.ask(front, "/pay/x"))[0] == 404

        # A draining replica gets no more requests.
        other = await SimulatedReplica(site, 3, "till").start()
        await asyncio.sleep(0.5)
        till.state = "draining"
        assert await till.send_heartbeat()
        await asyncio.sleep(0.5)
        before = till.served
        for _ in range(6):
            assert (await site.ask(site.fronts[0], "/pay2/x"))[0] == 200
        assert till.served == before and other.served >= 6

        # A planned stop completes requests in flight.
        other.delay_s = 1.0
        asking = [asyncio.create_task(site.ask(site.fronts[1], "/pay2/x")) for _ in range(5)]
        await asyncio.sleep(0.3)
        stopping = asyncio.to_thread(site.fronts[1].stop, 6)
        code = await stopping
        assert [(await task)[0] for task in asking] == [200] * 5 and code == 0

    run(scenario())


def test_members_are_killed_and_lose_their_disks(site):
    async def scenario():
        replicas = [await SimulatedReplica(site, 1, "till").start()]
        assert await site.publish(configuration(1)) == 200
        await site.until(served(site, "/pay/x"))

        # Two members lose their disks right after an acknowledgement.
        assert await site.publish(configuration(2)) == 200
        for machine in site.core[:2]:
            machine.kill()
            machine.wipe()
        status, content = 0, b""
        for _ in range(40):
            status, content = await site.call_with_body("GET", "/config")
            if status == 200:
                break
            await asyncio.sleep(0.2)
        assert status == 200 and json.loads(content)["version"] == 2
        for machine in site.core[:2]:
            machine.start(bootstrap=False)

        # After the recovery time that the platform allows, two other members may be lost.
        await asyncio.sleep(4.0)
        for machine in site.core[2:4]:
            machine.kill()
        assert await site.publish(configuration(3)) == 200
        for machine in site.core[2:4]:
            machine.start()

        # All processes are killed together and restarted within a second.
        for machine in site.machines:
            machine.kill()
        for machine in site.machines:
            machine.start()
        await site.until(served(site, "/pay/x"), within_s=12.0)
        status, content = await site.call_with_body("GET", "/config")
        assert status == 200 and json.loads(content)["version"] == 3
        assert await site.publish(configuration(4)) == 200
        for replica in replicas:
            await replica.stop()

    run(scenario())


def test_control_processes_without_a_disk_redirect_to_the_members(tmp_path):
    """Such processes run beside gateways even if other machines are reserved for control."""
    site = PlatformSite(tmp_path, core=3, fronts=1, redirectors=1)
    site.start()
    beside = site.redirectors[0]

    async def scenario():
        assert await site.publish(configuration(1)) == 200

        async def redirects_to_a_member():
            status, body = await site.call_with_body("GET", "/config", machine=beside)
            return status == 200 and json.loads(body)["version"] == 1

        await site.until(redirects_to_a_member)
        # Operators may send changes to it, and it never exits by itself.
        assert await site.call("PUT", "/config", configuration(2), machine=beside) == 200
        status, body = await site.call_with_body("GET", "/config")
        assert status == 200 and json.loads(body)["version"] == 2
        assert beside.process.poll() is None
        assert beside.stop(5) == 0

    try:
        run(scenario())
    finally:
        site.stop()
