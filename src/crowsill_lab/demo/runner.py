"""The demonstration: a deployment under load, with planned stops, a kill and a report."""

import asyncio
import signal
import time
from pathlib import Path

import aiohttp

from crowsill_lab.bench.site import run_operator_command
from crowsill_lab.demo.site import Site
from crowsill_lab.load.balancer import Balancer
from crowsill_lab.load.generator import LoadGenerator, LoadResult
from crowsill_lab.settings import LabDeployment, load_deployment

READY_TIMEOUT_S = 30.0
LOADED_TIMEOUT_S = 120.0
NEW_WORK_LIMIT_S = 3.0
STOP_ENTRY_AT = 0.3
KILL_ENTRY_AT = 0.5
STOP_BACKEND_AT = 0.65


class Demo:
    """One run."""

    def __init__(
        self, deployment: LabDeployment, site: Site, configuration: Path, seed: int
    ) -> None:
        self._deployment = deployment
        self._site = site
        self._configuration = configuration
        self._seed = seed
        self._balancer = Balancer(list(site.entries.values()))
        self._stopped_backend = ""
        self._stop_signal_s = 0.0
        self._exit_codes: dict[str, int | None] = {}

    def apply(self) -> None:
        """Apply the templates and parameters with the operators' command."""
        print(run_operator_command(self._site, "apply", str(self._configuration)).strip())

    def status(self) -> str:
        """Return what the operators' command shows."""
        return run_operator_command(self._site, "status")

    async def run(self, seconds: float) -> int:
        """Drive the load with its disturbances; return the exit code."""
        prober = asyncio.create_task(self._balancer.run())
        try:
            if not await self._balancer.wait_ready(len(self._site.entries), READY_TIMEOUT_S):
                print("entries did not become ready")
                return 1
            if not await self._wait_loaded():
                print("models did not become resident")
                return 1
            generator = LoadGenerator(self._deployment, self._balancer, self._seed)
            disturbances = asyncio.create_task(self._disturb(seconds))
            result = await generator.run(seconds)
            await disturbances
            return await self._report(result)
        finally:
            prober.cancel()

    async def _wait_loaded(self) -> bool:
        """Wait until each model and adapter of the load is resident somewhere."""
        started_s = time.monotonic()
        wanted = {model for shape in self._deployment.traffic for model in shape.models}
        async with aiohttp.ClientSession() as session:
            while time.monotonic() - started_s < LOADED_TIMEOUT_S:
                missing = wanted - await self._resident(session)
                if not missing:
                    print(f"all models resident after {time.monotonic() - started_s:.1f} s")
                    return True
                await asyncio.sleep(0.5)
        print("missing:", " ".join(sorted(missing)))
        return False

    async def _resident(self, session: aiohttp.ClientSession) -> set[str]:
        found: set[str] = set()
        for replica in self._site.replicas:
            async with session.get(f"http://{replica.address}/v1/report") as response:
                found.update((await response.json())["resident"])
        return found

    async def _disturb(self, seconds: float) -> None:
        names = list(self._site.entries)
        await asyncio.sleep(seconds * STOP_ENTRY_AT)
        await self._stop(names[0])
        await asyncio.sleep(seconds * (KILL_ENTRY_AT - STOP_ENTRY_AT))
        print(f"killing {names[1]}")
        self._site.processes[names[1]].send(signal.SIGKILL)
        await asyncio.sleep(seconds * (STOP_BACKEND_AT - KILL_ENTRY_AT))
        engine = next(item for item in self._site.replicas if item.memory_mib)
        await self._leave(engine.replica_id)

    async def _stop(self, name: str) -> None:
        print(f"stopping {name} by plan")
        process = self._site.processes[name]
        process.send(signal.SIGTERM)

        def wait() -> None:
            self._exit_codes[name] = process.wait()

        await asyncio.to_thread(wait)
        print(f"{name} ended with exit code {self._exit_codes[name]}")

    async def _leave(self, replica_id: str) -> None:
        print(f"the platform wants {replica_id} gone")
        self._stopped_backend = replica_id
        self._stop_signal_s = time.time()
        async with aiohttp.ClientSession() as session:
            url = f"http://{self._site.platform}/lab/leaving/{replica_id}"
            async with session.post(url) as response:
                response.raise_for_status()

    async def _counters(self) -> dict[str, dict[str, float]]:
        found: dict[str, dict[str, float]] = {}
        async with aiohttp.ClientSession() as session:
            for replica in self._site.replicas:
                async with session.get(f"http://{replica.address}/lab/counters") as response:
                    found[replica.replica_id] = await response.json()
        return found

    async def _executions(self) -> dict[str, int]:
        total: dict[str, int] = {}
        async with aiohttp.ClientSession() as session:
            for replica in self._site.replicas:
                if replica.memory_mib:
                    continue
                async with session.get(f"http://{replica.address}/lab/executions") as response:
                    for key, count in (await response.json()).items():
                        total[key] = total.get(key, 0) + count
        return total

    async def _report(self, result: LoadResult) -> int:
        counters = await self._counters()
        executions = await self._executions()
        broken = result.keys.violations(executions)
        broken += self._broken_promises(result, counters)
        _print_table(result)
        loads = sum(counter.get("loads", 0) for counter in counters.values())
        unloads = sum(counter.get("unloads", 0) for counter in counters.values())
        print(
            f"unsafe keys: {len(executions)} run, most runs of one key "
            f"{max(executions.values(), default=0)}, outcome unknown {len(result.keys.unknown)}"
        )
        print(f"model moves: {loads:.0f} loads, {unloads:.0f} unloads")
        last_s = counters[self._stopped_backend]["last_new_work_s"] - self._stop_signal_s
        print(f"last new work at the leaving back end {last_s:+.2f} s after the first signal")
        for line in broken:
            print(f"BROKEN: {line}")
        print("every promise held" if not broken else f"{len(broken)} promises broken")
        return 1 if broken else 0

    def _broken_promises(
        self, result: LoadResult, counters: dict[str, dict[str, float]]
    ) -> list[str]:
        broken: list[str] = []
        for name, tally in result.tallies.items():
            if tally.foreign:
                broken.append(f"{name}: {tally.foreign} foreign answers")
            if tally.truncated:
                broken.append(f"{name}: {tally.truncated} truncated answers")
        for replica_id, counter in counters.items():
            if counter.get("overcommits", 0):
                broken.append(f"{replica_id}: memory overcommitted {counter['overcommits']} times")
        last_s = counters[self._stopped_backend]["last_new_work_s"] - self._stop_signal_s
        if last_s > NEW_WORK_LIMIT_S:
            broken.append(f"{self._stopped_backend} got new work {last_s:.1f} s after leaving")
        for name, code in self._exit_codes.items():
            if code != 0:
                broken.append(f"{name} ended with exit code {code}")
        return broken


def _print_table(result: LoadResult) -> None:
    heads = (
        "class",
        "sent",
        "answered",
        "attained",
        "p50 ms",
        "p99 ms",
        "refused",
        "broken",
        "lost",
        "foreign",
        "cut",
    )
    print(("{:24}" + "{:>10}" * (len(heads) - 1)).format(*heads))
    for name, tally in result.tallies.items():
        lost = tally.sent - tally.answered
        share = 100.0 * tally.attained / max(1, tally.sent)
        row = (
            name,
            tally.sent,
            tally.answered,
            f"{share:.1f}%",
            f"{tally.quantile_ms(50):.1f}",
            f"{tally.quantile_ms(99):.1f}",
            sum(tally.refused.values()),
            tally.broken,
            lost,
            tally.foreign,
            tally.truncated,
        )
        print(("{:24}" + "{:>10}" * (len(row) - 1)).format(*row))
        if tally.refused:
            print("    refusals:", ", ".join(f"{k} {v}" for k, v in sorted(tally.refused.items())))


def run_demo(deployment_file: Path, seconds: float, seed: int, folder: Path) -> int:
    """Run the demonstration; return the exit code."""
    deployment = load_deployment(deployment_file)
    site = Site(deployment, folder.absolute())
    started_s = time.monotonic()
    try:
        site.start()
        print(f"{len(site.processes)} processes started after {time.monotonic() - started_s:.1f} s")
        demo = Demo(deployment, site, deployment_file.parent / deployment.configuration, seed)
        demo.apply()
        code = asyncio.run(demo.run(seconds))
        print(demo.status())
        return code
    finally:
        site.stop()
