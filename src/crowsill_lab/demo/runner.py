"""Runs the demonstration: a deployment under load, with planned stops, a kill and a report."""

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
MAX_NEW_WORK_AFTER_DRAIN_S = 3.0
STOP_ENTRY_SHARE = 0.3
KILL_ENTRY_SHARE = 0.5
DRAIN_BACKEND_SHARE = 0.65


class Demo:
    """One run of the demonstration."""

    def __init__(
        self, deployment: LabDeployment, site: Site, configuration: Path, seed: int
    ) -> None:
        self._deployment = deployment
        self._site = site
        self._configuration = configuration
        self._seed = seed
        self._balancer = Balancer(list(site.entries.values()))
        self._draining_backend = ""
        self._drain_signal_unix_s = 0.0
        self._exit_codes: dict[str, int | None] = {}

    def apply(self) -> None:
        """Apply the templates and parameters with the operator command."""
        print(run_operator_command(self._site, "apply", str(self._configuration)).strip())

    def status(self) -> str:
        """Return the output of the operator command `status`."""
        return run_operator_command(self._site, "status")

    async def run(self, seconds: float) -> int:
        """Generate the load, inject the disturbances, and return the exit code."""
        prober = asyncio.create_task(self._balancer.run())
        try:
            if not await self._balancer.wait_ready(len(self._site.entries), READY_TIMEOUT_S):
                print("entries did not become ready")
                return 1
            if not await self._wait_models_loaded():
                print("models did not become resident")
                return 1
            generator = LoadGenerator(self._deployment, self._balancer, self._seed)
            disturbances = asyncio.create_task(self._inject_disturbances(seconds))
            result = await generator.run(seconds)
            await disturbances
            return await self._report(result)
        finally:
            prober.cancel()

    async def _wait_models_loaded(self) -> bool:
        """Wait until each model and adapter of the load is resident on an engine."""
        started_at_s = time.monotonic()
        required = {model for shape in self._deployment.traffic for model in shape.models}
        async with aiohttp.ClientSession() as session:
            while time.monotonic() - started_at_s < LOADED_TIMEOUT_S:
                missing = required - await self._resident(session)
                if not missing:
                    print(f"all models resident after {time.monotonic() - started_at_s:.1f} s")
                    return True
                await asyncio.sleep(0.5)
        print("missing:", " ".join(sorted(missing)))
        return False

    async def _resident(self, session: aiohttp.ClientSession) -> set[str]:
        resident: set[str] = set()
        for replica in self._site.replicas:
            async with session.get(f"http://{replica.address}/v1/report") as response:
                resident.update((await response.json())["resident"])
        return resident

    async def _inject_disturbances(self, seconds: float) -> None:
        names = list(self._site.entries)
        await asyncio.sleep(seconds * STOP_ENTRY_SHARE)
        await self._stop(names[0])
        await asyncio.sleep(seconds * (KILL_ENTRY_SHARE - STOP_ENTRY_SHARE))
        print(f"killing {names[1]}")
        self._site.processes[names[1]].send(signal.SIGKILL)
        await asyncio.sleep(seconds * (DRAIN_BACKEND_SHARE - KILL_ENTRY_SHARE))
        engine = next(item for item in self._site.replicas if item.memory_mib)
        await self._drain(engine.replica_id)

    async def _stop(self, name: str) -> None:
        print(f"stopping {name} as planned")
        process = self._site.processes[name]
        process.send(signal.SIGTERM)

        def wait() -> None:
            self._exit_codes[name] = process.wait()

        await asyncio.to_thread(wait)
        print(f"{name} ended with exit code {self._exit_codes[name]}")

    async def _drain(self, replica_id: str) -> None:
        print(f"the platform drains {replica_id}")
        self._draining_backend = replica_id
        self._drain_signal_unix_s = time.time()
        async with aiohttp.ClientSession() as session:
            url = f"http://{self._site.platform}/lab/leaving/{replica_id}"
            async with session.post(url) as response:
                response.raise_for_status()

    async def _counters(self) -> dict[str, dict[str, float]]:
        counters: dict[str, dict[str, float]] = {}
        async with aiohttp.ClientSession() as session:
            for replica in self._site.replicas:
                async with session.get(f"http://{replica.address}/lab/counters") as response:
                    counters[replica.replica_id] = await response.json()
        return counters

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
        violations = result.keys.violations(executions)
        violations += self._violations(result, counters)
        _print_table(result)
        loads = sum(counter.get("loads", 0) for counter in counters.values())
        unloads = sum(counter.get("unloads", 0) for counter in counters.values())
        print(
            f"idempotency keys: {len(executions)} run, maximum runs of one key "
            f"{max(executions.values(), default=0)}, outcome unknown {len(result.keys.unknown)}"
        )
        print(f"model moves: {loads:.0f} loads, {unloads:.0f} unloads")
        after_s = counters[self._draining_backend]["last_new_work_s"] - self._drain_signal_unix_s
        print(f"last new work at the draining back end {after_s:+.2f} s after the first signal")
        for line in violations:
            print(f"BROKEN: {line}")
        print(
            "every guarantee held" if not violations else f"{len(violations)} guarantees violated"
        )
        return 1 if violations else 0

    def _violations(self, result: LoadResult, counters: dict[str, dict[str, float]]) -> list[str]:
        violations: list[str] = []
        for name, tally in result.tallies.items():
            if tally.foreign:
                violations.append(f"{name}: {tally.foreign} responses to other requests")
            if tally.truncated:
                violations.append(f"{name}: {tally.truncated} truncated responses")
        for replica_id, counter in counters.items():
            if counter.get("overcommits", 0):
                violations.append(
                    f"{replica_id}: memory overcommitted {counter['overcommits']} times"
                )
        after_s = counters[self._draining_backend]["last_new_work_s"] - self._drain_signal_unix_s
        if after_s > MAX_NEW_WORK_AFTER_DRAIN_S:
            violations.append(
                f"{self._draining_backend} received new work {after_s:.1f} s after its drain began"
            )
        for name, code in self._exit_codes.items():
            if code != 0:
                violations.append(f"{name} ended with exit code {code}")
        return violations


def _print_table(result: LoadResult) -> None:
    header = (
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
    print(("{:24}" + "{:>10}" * (len(header) - 1)).format(*header))
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
            sum(tally.rejected.values()),
            tally.broken,
            lost,
            tally.foreign,
            tally.truncated,
        )
        print(("{:24}" + "{:>10}" * (len(row) - 1)).format(*row))
        if tally.rejected:
            print(
                "    rejections:", ", ".join(f"{k} {v}" for k, v in sorted(tally.rejected.items()))
            )


def run_demo(deployment_file: Path, seconds: float, seed: int, folder: Path) -> int:
    """Run the demonstration; return the exit code."""
    deployment = load_deployment(deployment_file)
    site = Site(deployment, folder.absolute())
    started_at_s = time.monotonic()
    try:
        site.start()
        print(
            f"{len(site.processes)} processes started after {time.monotonic() - started_at_s:.1f} s"
        )
        demo = Demo(deployment, site, deployment_file.parent / deployment.configuration, seed)
        demo.apply()
        code = asyncio.run(demo.run(seconds))
        print(demo.status())
        return code
    finally:
        site.stop()
