"""The subcommands `crowsill-lab bench ...`."""

from pathlib import Path

import msgspec
import typer

application = typer.Typer(no_args_is_help=True, help="Benchmarks and simulations.")
DEFAULT_FOLDER = Path("bench-run")


def _print(figures: msgspec.Struct) -> None:
    for name in figures.__struct_fields__:
        typer.echo(f"{name:28} {getattr(figures, name)}")


@application.command()
def entry(
    rate: float = 200.0,
    seconds: float = 15.0,
    tokens: int = 20,
    both: bool = True,
    folder: Path = DEFAULT_FOLDER,
) -> None:
    """Measure the latency and CPU time that one entry adds."""
    from crowsill_lab.bench.entry import run_entry_bench

    _print(run_entry_bench(rate, seconds, tokens, both, folder))


@application.command()
def overload(seconds: float = 8.0, folder: Path = DEFAULT_FOLDER) -> None:
    """Measure urgent calls during a burst of ten times the capacity."""
    from crowsill_lab.bench.overload import run_overload_bench

    _print(run_overload_bench(seconds, folder))


@application.command()
def retries(seconds: float = 15.0, folder: Path = DEFAULT_FOLDER) -> None:
    """Count upstream calls for each caller's call while a third of the back ends fail."""
    from crowsill_lab.bench.overload import run_retry_bench

    _print(run_retry_bench(seconds, folder))


@application.command()
def stops(folder: Path = DEFAULT_FOLDER) -> None:
    """Stop an entry, the control leader, an engine and a service gracefully under load."""
    from crowsill_lab.bench.stops import run_stop_bench

    _print(run_stop_bench(folder))


@application.command()
def connections(count: int = 10_000, folder: Path = DEFAULT_FOLDER) -> None:
    """Measure valid calls while slow and malformed connections are open."""
    from crowsill_lab.bench.stops import run_connection_bench

    _print(run_connection_bench(count, folder))


@application.command()
def commits(seconds: float = 8.0, folder: Path = DEFAULT_FOLDER) -> None:
    """Measure commit latency and claims per second of three control members."""
    from crowsill_lab.bench.control import run_commit_bench

    _print(run_commit_bench(seconds, folder))


@application.command()
def kills(count: int = 200, seed: int = 1, folder: Path = DEFAULT_FOLDER) -> None:
    """Kill control members at random during claims and configuration changes."""
    from crowsill_lab.bench.kills import run_kill_bench

    _print(run_kill_bench(count, seed, folder))


@application.command()
def cut(seconds: float = 20.0, folder: Path = DEFAULT_FOLDER) -> None:
    """Partition the leader from the other members without closing any connection."""
    from crowsill_lab.bench.cut import run_cut_bench

    _print(run_cut_bench(seconds, folder))


@application.command()
def replace(folder: Path = DEFAULT_FOLDER) -> None:
    """Replace a member that lost its disk, then kill another member."""
    from crowsill_lab.bench.replacement import run_replace_bench

    _print(run_replace_bench(folder))


@application.command()
def restart(entries: int = 50, folder: Path = DEFAULT_FOLDER) -> None:
    """Measure restarts after a thousand configuration changes, and a burst of changes."""
    from crowsill_lab.bench.restart import run_restart_bench

    _print(run_restart_bench(entries, folder))


@application.command()
def crowd(
    counts: str = "10,50,200,400", seconds: float = 10.0, folder: Path = DEFAULT_FOLDER
) -> None:
    """Measure the cost of hollow entries to the control members, for several numbers of them."""
    from crowsill_lab.bench.crowd import run_crowd_bench

    for figures in run_crowd_bench([int(item) for item in counts.split(",")], seconds, folder):
        _print(figures)


@application.command()
def fleet(
    counts: str = "12,100,400,1200", seconds: float = 10.0, folder: Path = DEFAULT_FOLDER
) -> None:
    """Measure the cost of observing hollow replicas, for several fleet sizes."""
    from crowsill_lab.bench.fleet import run_fleet_bench

    for figures in run_fleet_bench([int(item) for item in counts.split(",")], seconds, folder):
        _print(figures)


@application.command()
def planner(counts: str = "9,100,400,1200") -> None:
    """Measure time and memory of the planner, for several fleet sizes."""
    from crowsill_lab.bench.planner import run_planner_bench

    for count in counts.split(","):
        _print(run_planner_bench(int(count)))


@application.command()
def quotas(seed: int = 1) -> None:
    """Simulate strategies to enforce a tenant's rate over many gateways."""
    from crowsill_lab.bench.quotas import QuotaFigures, run_quota_bench

    typer.echo("  ".join(QuotaFigures.__struct_fields__))
    for row in run_quota_bench(seed):
        typer.echo("  ".join(str(value) for value in msgspec.structs.astuple(row)))


@application.command()
def limits(seed: int = 1) -> None:
    """Simulate strategies to enforce a replica's advertised rate limit over many gateways."""
    from crowsill_lab.bench.limits import LimitFigures, run_limit_bench

    typer.echo("  ".join(LimitFigures.__struct_fields__))
    for row in run_limit_bench(seed):
        typer.echo("  ".join(str(value) for value in msgspec.structs.astuple(row)))


@application.command()
def levels() -> None:
    """Measure the CPU time to sum the demand of 100 gateways and to decide the admission level."""
    from crowsill_lab.bench.levels import run_level_bench

    for figures in run_level_bench():
        _print(figures)


@application.command()
def admission() -> None:
    """Measure the CPU time to identify a caller and to grant its units."""
    from crowsill_lab.bench.admission import run_admission_bench

    for figures in run_admission_bench():
        _print(figures)


@application.command()
def fingerprints() -> None:
    """Measure the CPU time to look up a request among the crash suspects."""
    from crowsill_lab.bench.fingerprints import run_fingerprint_bench

    for figures in run_fingerprint_bench():
        _print(figures)


@application.command()
def choice() -> None:
    """Measure the CPU time to choose among 10 and 100 replicas."""
    from crowsill_lab.bench.choice import run_choice_bench

    for figures in run_choice_bench():
        _print(figures)


@application.command()
def waiting() -> None:
    """Measure the CPU time of the queue of waiting requests, with 10 and 1,000 of them."""
    from crowsill_lab.bench.waiting import run_waiting_bench

    for figures in run_waiting_bench():
        _print(figures)


@application.command()
def costs(seed: int = 1) -> None:
    """Measure the CPU time and memory of estimates of what requests cost."""
    from crowsill_lab.bench.costs import run_cost_bench

    _print(run_cost_bench(seed))


@application.command()
def returns(seed: int = 1) -> None:
    """Simulate strategies to resume sending to replicas after a backoff."""
    from crowsill_lab.bench.returns import ReturnFigures, run_return_bench

    typer.echo("  ".join(ReturnFigures.__struct_fields__))
    for row in run_return_bench(seed):
        typer.echo("  ".join(str(value) for value in msgspec.structs.astuple(row)))
