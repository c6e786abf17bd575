"""A complete deployment of local processes: callers, operators, kills and planned stops."""

import asyncio
import hashlib
import signal
import subprocess
import sys

import aiohttp
import pytest

from crowsill_lab.demo.site import Site
from crowsill_lab.load.balancer import Balancer
from crowsill_lab.load.generator import LoadGenerator
from tests.deployment import CONFIGURATION, MODELS, PARAMETERS, small_deployment

WAIT_S = 40.0
HEADERS = {"Authorization": "Bearer shop-token"}


def run_cli(site, *arguments):
    command = [sys.executable, "-m", "crowsill.cli.main", *arguments]
    command += ["--settings", str(site.operator_settings)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    folder = tmp_path_factory.mktemp("site")
    files = folder / "configuration"
    files.mkdir()
    (files / "template.toml").write_text(CONFIGURATION)
    digest = hashlib.sha256(b"shop-token").hexdigest()
    (files / "shop.toml").write_text(PARAMETERS.format(digest=digest))
    running = Site(small_deployment(), folder / "run")
    try:
        running.start()
        applied = run_cli(running, "apply", str(files))
        assert applied.returncode == 0, applied.stderr
        asyncio.run(wait_until_served(running))
        yield running
    finally:
        running.stop()


async def wait_until_served(site):
    """Wait until each entry serves each model."""
    deadline_s = asyncio.get_running_loop().time() + WAIT_S
    async with aiohttp.ClientSession(headers=HEADERS) as session:
        for entry in site.entries.values():
            for model in MODELS:
                while (await complete(session, entry, model))[0] != 200:
                    assert asyncio.get_running_loop().time() < deadline_s
                    await asyncio.sleep(0.05)


async def complete(session, entry, model, **more):
    body = {"model": model, "prompt": "p", "max_tokens": 3, **more}
    async with session.post(f"http://{entry}/v1/completions", json=body) as response:
        return response.status, await response.read()


async def pay(session, entry, key, body="1"):
    url = f"http://{entry}/services/till/pay"
    headers = {"Idempotency-Key": key}
    async with session.post(url, data=body, headers=headers) as response:
        return response.status, await response.json(), response.headers


def with_session(work):
    async def run():
        async with aiohttp.ClientSession(headers=HEADERS) as session:
            return await work(session)

    return asyncio.run(run())


def test_a_stream_arrives_complete(site):
    entry = next(iter(site.entries.values()))
    status, body = with_session(lambda session: complete(session, entry, "alpha", stream=True))
    assert status == 200
    assert body.count(b'"text"') == 3 and body.endswith(b"data: [DONE]\n\n")


def test_an_unsafe_call_is_replayed_at_another_entry(site):
    first, second = site.entries.values()

    async def work(session):
        one = await pay(session, first, "key-1")
        while (two := await pay(session, second, "key-1"))[0] == 409:
            await asyncio.sleep(0.01)
        return one, two, await pay(session, second, "key-1", body="2")

    one, two, other = with_session(work)
    assert one[0] == two[0] == 200 and one[1] == two[1]
    assert two[2]["X-Idempotent-Replay"] == "true"
    assert other[0] == 422 and other[1]["kind"] == "key_conflict"


def test_operators_see_the_status_and_concurrent_changes_conflict(site, tmp_path):
    status_output = run_cli(site, "status").stdout
    assert "revision 1, confirmed" in status_output or "revision 1, as this member" in status_output
    assert "entry-1" in status_output and "leader" in status_output
    template = tmp_path / "template.toml"
    template.write_text(CONFIGURATION.replace("target_ms = 500", "target_ms = 600"))
    planned = run_cli(site, "plan", str(template))
    assert "~ template small.classes" in planned.stdout
    applied = run_cli(site, "apply", str(template), "--base", "1", "--change-id", "one")
    assert "accepted: revision 2" in applied.stdout
    template.write_text(CONFIGURATION.replace("target_ms = 500", "target_ms = 700"))
    conflicting = run_cli(site, "apply", str(template), "--base", "1", "--change-id", "two")
    assert conflicting.returncode == 1 and "'one' by demo came first" in conflicting.stderr
    rolled_back = run_cli(site, "rollback", "1")
    assert "revision 3" in rolled_back.stdout
    assert '"target_ms": 600' in run_cli(site, "show", "--revision", "2").stdout
    assert '"target_ms": 500' in run_cli(site, "show").stdout
    assert "serving" in run_cli(site, "explain", "alpha").stdout
    listed = run_cli(site, "members", "list")
    assert listed.returncode == 0 and "the group is whole" in listed.stdout
    rejected = run_cli(site, "members", "remove", leader_name(site))
    assert rejected.returncode == 1 and "cannot remove itself" in rejected.stderr


def test_errors_in_files_are_reported_with_their_place(site, tmp_path):
    bad = tmp_path / "bad.toml"
    bad.write_text('kind = "template"\nname = "x"\nclasses = 3\n')
    found = run_cli(site, "plan", str(bad))
    assert found.returncode == 1 and "bad.toml" in found.stderr and "$.classes" in found.stderr
    bad.write_text("kind = \nname = 3\n")
    assert "line 1" in run_cli(site, "plan", str(bad)).stderr


def test_guarantees_hold_when_the_leader_is_killed_and_an_entry_stops(site):
    async def work():
        balancer = Balancer(list(site.entries.values()))
        prober = asyncio.create_task(balancer.run())
        assert await balancer.wait_ready(2, WAIT_S)
        generator = LoadGenerator(small_deployment(), balancer, seed=3)
        load = asyncio.create_task(generator.run(9.0))
        await until_answered(generator, 20)
        leader = leader_name(site)
        site.processes[leader].send(signal.SIGKILL)
        await until_answered(generator, 100)
        site.processes[leader].start()
        stopped = site.processes["entry-0"]
        stopped.send(signal.SIGTERM)
        code = await asyncio.to_thread(stopped.wait)
        result = await load
        prober.cancel()
        return code, result, await executions(site)

    code, result, runs = asyncio.run(work())
    assert code == 0
    assert result.keys.violations(runs) == []
    assert max(runs.values()) == 1
    for tally in result.tallies.values():
        assert tally.foreign == tally.truncated == tally.broken == tally.unreachable == 0
        assert tally.answered > 0
    members = run_cli(site, "status").stdout
    assert "leader" in members


async def until_answered(generator, count):
    while sum(tally.answered for tally in generator.result.tallies.values()) < count:
        await asyncio.sleep(0.01)


def leader_name(site):
    for line in run_cli(site, "status").stdout.splitlines():
        if line.endswith("leader"):
            return line.split()[0]
    raise AssertionError("no leader")


async def executions(site):
    total = {}
    async with aiohttp.ClientSession() as session:
        for machine in site.replicas:
            if machine.memory_mib == 0:
                async with session.get(f"http://{machine.address}/lab/executions") as response:
                    for key, count in (await response.json()).items():
                        total[key] = total.get(key, 0) + count
    return total
