"""A small deployment for benchmarks, with its configuration written to files."""

import asyncio
import hashlib
import subprocess
import sys
from pathlib import Path

import aiohttp

from crowsill.backends.wire import PATH_REPORT
from crowsill_lab.demo.site import Site
from crowsill_lab.settings import EngineShape, LabDeployment, ServiceShape, StoreShape

TOKEN = "bench-token"
MODEL = "bench-model"
READY_TIMEOUT_S = 60.0
ZONES = ["z1", "z2", "z3"]

_TEMPLATE = f"""
kind = "template"
name = "bench"
spare_copies = 8
[classes.urgent]
urgency = "urgent"
target_ms = 250
deadline_ms = 30000
[classes.patient]
urgency = "patient"
target_ms = 5000
deadline_ms = 30000
[models.{MODEL}]
pool = "engines"
memory_mib = 1000
traffic_class = "urgent"
[services.till]
pool = "till"
traffic_class = "urgent"
unsafe = true
[services.desk]
pool = "till"
traffic_class = "urgent"
[services.archive]
pool = "till"
traffic_class = "patient"
"""

_PARAMETERS = f"""
kind = "parameters"
tenant = "bench"
template = "bench"
token_sha256 = ["{hashlib.sha256(TOKEN.encode()).hexdigest()}"]
models = ["{MODEL}"]
services = ["till", "desk", "archive"]
[limits]
requests_per_s = 100000.0
burst = 100000
max_queued = 100000
"""


def bench_deployment(
    entries: int,
    control_members: int,
    engine: EngineShape,
    service: ServiceShape,
) -> LabDeployment:
    """Return a deployment with one model and one pool of service replicas."""
    return LabDeployment(
        zones=ZONES,
        entries=entries,
        control_members=control_members,
        tokens={"bench": TOKEN},
        configuration="",
        engines=[engine],
        services=[service],
        store=StoreShape(loads_per_s=100.0, concurrent=100, mib_per_s=1e6),
        traffic=[],
        platform_lag_s=0.5,
        report_lag_s=0.2,
    )


def run_operator_command(site: Site, *arguments: str) -> str:
    """Run the operator command line on a site; return its output.

    Raises:
        RuntimeError: The command failed.
    """
    command = [sys.executable, "-m", "crowsill.cli.main", *arguments]
    command += ["--settings", str(site.operator_settings)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    if completed.returncode != 0:
        raise RuntimeError(completed.stdout + completed.stderr)
    return completed.stdout


def start_site(deployment: LabDeployment, folder: Path) -> Site:
    """Start a deployment, apply its configuration and wait until every entry serves the model."""
    site = Site(deployment, folder.absolute())
    try:
        site.start()
        files = site.folder / "configuration"
        files.mkdir()
        (files / "template.toml").write_text(_TEMPLATE)
        (files / "parameters.toml").write_text(_PARAMETERS)
        run_operator_command(site, "apply", str(files))
        asyncio.run(_wait_until_loaded_and_served(site))
    except BaseException:
        site.stop()
        raise
    return site


async def _wait_until_loaded_and_served(site: Site) -> None:
    """Wait until each engine has loaded the model and each entry serves it."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + READY_TIMEOUT_S
    async with aiohttp.ClientSession() as session:
        for replica in site.replicas:
            while replica.memory_mib and not await _has_loaded_model(session, replica.address):
                if loop.time() > deadline_s:
                    raise RuntimeError(
                        f"{replica.replica_id} did not load the model within the timeout"
                    )
                await asyncio.sleep(0.1)
    await _wait_until_served(site, deadline_s)


async def _has_loaded_model(session: aiohttp.ClientSession, address: str) -> bool:
    async with session.get(f"http://{address}{PATH_REPORT}") as response:
        report: dict[str, list[str]] = await response.json()
    return MODEL in report["resident"]


async def _wait_until_served(site: Site, deadline_s: float) -> None:
    body = {"model": MODEL, "prompt": "x", "max_tokens": 1}
    headers = {"Authorization": f"Bearer {TOKEN}"}
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession(headers=headers) as session:
        for entry in site.entries.values():
            while True:
                url = f"http://{entry}/v1/completions"
                async with session.post(url, json=body) as response:
                    if response.status == 200:
                        break
                if loop.time() > deadline_s:
                    raise RuntimeError("an entry did not serve the model within the timeout")
                await asyncio.sleep(0.1)
