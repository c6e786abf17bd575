"""The commands `crowsill quarantine`: what is held back because replicas ended under it."""

from datetime import UTC, datetime
from typing import Annotated

import typer
from returns.result import Success

from crowsill.cli.common import (
    DEFAULT_SETTINGS,
    JsonOption,
    SettingsOption,
    client_of,
    echo_json,
    fail,
)
from crowsill.control.operations import LiftRequest, LiftResponse, QuarantineLine

application = typer.Typer(
    no_args_is_help=True, help="Look at or lift what is held back because replicas ended under it."
)


def _time(wall_s: float) -> str:
    return datetime.fromtimestamp(wall_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


@application.command("list")
def list_(
    suspects: Annotated[
        bool, typer.Option("--suspects", help="Also what is not held back yet.")
    ] = False,
    settings: SettingsOption = DEFAULT_SETTINGS,
    as_json: JsonOption = False,
) -> None:
    """Show what is held back, since when, and which replicas ended under it."""
    answered = client_of(settings).get("/v1/quarantine", list[QuarantineLine])
    if not isinstance(answered, Success):
        fail(answered.failure())
    shown = [line for line in answered.unwrap() if line.held_back or suspects]
    if as_json:
        echo_json(shown)
        return
    for line in shown:
        mark = "held back" if line.held_back else "suspect"
        typer.echo(f"{line.fingerprint} {mark} since {_time(line.last_s)} {line.service}")
        typer.echo(f"  {line.place} (last id {line.request_id})")
        typer.echo(f"  ended: {' '.join(line.replicas)}, the first at {_time(line.first_s)}")
    if not shown:
        typer.echo("nothing is held back")


@application.command()
def lift(fingerprint: str, settings: SettingsOption = DEFAULT_SETTINGS) -> None:
    """Let the request with this FINGERPRINT be sent to replicas again."""
    body = LiftRequest(fingerprint)
    answered = client_of(settings).post("/v1/quarantine/lift", body, LiftResponse)
    if not isinstance(answered, Success):
        fail(answered.failure())
    typer.echo("lifted" if answered.unwrap().lifted else "nothing was counted against it")
