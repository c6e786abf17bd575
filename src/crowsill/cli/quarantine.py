"""The commands `crowsill quarantine`: requests and prompt parts under which replicas crashed."""

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
    no_args_is_help=True,
    help="List quarantined requests and parts of prompts, or lift a quarantine.",
)


def _format_time(wall_s: float) -> str:
    return datetime.fromtimestamp(wall_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


@application.command("list")
def list_(
    suspects: Annotated[
        bool, typer.Option("--suspects", help="Also list requests that are not quarantined yet.")
    ] = False,
    settings: SettingsOption = DEFAULT_SETTINGS,
    as_json: JsonOption = False,
) -> None:
    """Show quarantined requests and parts of prompts, since when, and the replicas that crashed."""
    response = client_of(settings).get("/v1/quarantine", list[QuarantineLine])
    if not isinstance(response, Success):
        fail(response.failure())
    shown = [line for line in response.unwrap() if line.held_back or suspects]
    if as_json:
        echo_json(shown)
        return
    for line in shown:
        state = "quarantined" if line.held_back else "suspect"
        typer.echo(f"{line.fingerprint} {state} since {_format_time(line.last_s)} {line.service}")
        if line.prompts:
            typer.echo(f"  part of {line.prompts} prompts (last id {line.request_id})")
        else:
            typer.echo(f"  {line.place} (last id {line.request_id})")
        typer.echo(
            f"  crashed: {' '.join(line.replicas)}, the first at {_format_time(line.first_s)}"
        )
    if not shown:
        typer.echo("no request is quarantined")


@application.command()
def lift(fingerprint: str, settings: SettingsOption = DEFAULT_SETTINGS) -> None:
    """Let the request, or prompts with the part, of this FINGERPRINT be sent to replicas again."""
    body = LiftRequest(fingerprint)
    response = client_of(settings).post("/v1/quarantine/lift", body, LiftResponse)
    if not isinstance(response, Success):
        fail(response.failure())
    typer.echo("lifted" if response.unwrap().lifted else "no crash is recorded for it")
