"""The command `crowsill-lab`: emulated back ends, tests and reports. Never deployed."""

from pathlib import Path

import msgspec
import typer
from aiohttp import web

from crowsill.logs import configure_logs
from crowsill.model.fleet import ReplicaDescription
from crowsill_lab.bench.commands import application as bench_application
from crowsill_lab.engine.server import EngineServer
from crowsill_lab.platform.server import PlatformServer
from crowsill_lab.reference import write_pages
from crowsill_lab.service.server import ServiceServer
from crowsill_lab.settings import EngineShape, ServiceShape, StoreShape
from crowsill_lab.store.server import StoreServer

application = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False
)
application.add_typer(bench_application, name="bench")
DEMO_DEPLOYMENT = Path("examples/huon/lab.toml")


@application.callback()
def _configure() -> None:
    """Emulated back ends, load, benchmarks, soaks and the demonstration."""
    configure_logs("lab", "ERROR")


def _serve(server: web.Application, port: int) -> None:
    web.run_app(server, host="127.0.0.1", port=port, access_log=None, print=None)


@application.command()
def engine(port: int, shape: str, store: str, report_lag_s: float) -> None:
    """Run one emulated engine."""
    parsed = msgspec.json.decode(shape, type=EngineShape)
    _serve(EngineServer(parsed, store, report_lag_s).application(), port)


@application.command()
def service(port: int, shape: str, report_lag_s: float) -> None:
    """Run one emulated plain service."""
    parsed = msgspec.json.decode(shape, type=ServiceShape)
    _serve(ServiceServer(parsed, report_lag_s).application(), port)


@application.command()
def store(port: int, shape: str) -> None:
    """Run the emulated weight store."""
    _serve(StoreServer(msgspec.json.decode(shape, type=StoreShape)).application(), port)


@application.command()
def platform(port: int, machines: Path, lag_s: float) -> None:
    """Run the emulated list of machines."""
    listed = msgspec.json.decode(machines.read_bytes(), type=list[ReplicaDescription])
    _serve(PlatformServer(listed, lag_s).application(), port)


@application.command()
def demo(
    deployment: Path = DEMO_DEPLOYMENT,
    seconds: float = 60.0,
    seed: int = 1,
    folder: Path = Path("demo-run"),
) -> None:
    """Run a complete deployment under load, stop and kill processes, and check all guarantees."""
    from crowsill_lab.demo.runner import run_demo

    raise typer.Exit(run_demo(deployment, seconds, seed, folder))


@application.command()
def tries(logs: list[Path]) -> None:
    """Report the outcomes of requests by route from saved logs of gateways."""
    from crowsill_lab.report import plot, read_tries, table

    texts = [path.read_text(encoding="utf-8", errors="replace") for path in logs]
    found = read_tries(texts)
    typer.echo(table(found))
    typer.echo(plot(found))


@application.command()
def explain_day(logs: list[Path]) -> None:
    """Report lost requests, their causes and `Retry-After` times from saved logs of gateways."""
    from crowsill_lab.explain_day import losses_of, plot, read_tries, table
    from crowsill_lab.return_times import retry_table, return_times

    found = read_tries([path.read_text(encoding="utf-8", errors="replace") for path in logs])
    losses = losses_of(found)
    typer.echo(table(losses))
    typer.echo(retry_table(return_times(found)))
    typer.echo(plot(losses))


@application.command()
def explain_models(logs: list[Path]) -> None:
    """Report the models and adapters that were never served, from saved logs of all processes."""
    from crowsill_lab.explain_models import read_resources, resource_table

    texts = [path.read_text(encoding="utf-8", errors="replace") for path in logs]
    typer.echo(resource_table(read_resources(texts)))


@application.command()
def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    minutes: float = 0.5,
    members: int = 3,
    gateways: int = 3,
    pointers: int = 0,
    signals: bool = True,
    limits: bool = True,
    cuts: bool = True,
    silent_cuts: bool = False,
    parts: bool = False,
    load_control: bool = False,
    versions: bool = False,
    failures: bool = False,
    folder: Path = Path("soak-run"),
) -> None:
    """Run the real programs under external faults and check all guarantees, for each seed."""
    from crowsill_lab.soak.runner import SoakPlan, run_soak

    failed_seeds = 0
    for number in range(seed, seed + seeds):
        run_folder = folder / str(number)
        if run_folder.exists() and any(run_folder.iterdir()):
            # Data of a previous run holds a group at other addresses, which cannot form again.
            raise typer.BadParameter(f"{run_folder} is not empty")
        plan = SoakPlan(
            number,
            minutes * 60.0,
            members,
            gateways,
            run_folder,
            pointers,
            has_signals=signals,
            has_limits=limits,
            has_cuts=cuts,
            has_silent_cuts=silent_cuts,
            has_parts=parts,
            has_load_control=load_control,
            has_versions=versions,
            has_failures=failures,
        )
        report = run_soak(plan)
        typer.echo(report.text())
        failed_seeds += bool(report.violations)
    typer.echo(f"{seeds} seeds, {failed_seeds} with violated guarantees")
    raise typer.Exit(1 if failed_seeds else 0)


@application.command()
def reference(folder: Path = Path("docs")) -> None:
    """Write the reference pages of errors, log events and metrics."""
    write_pages(folder)


if __name__ == "__main__":
    application()
