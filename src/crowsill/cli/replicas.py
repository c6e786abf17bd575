"""The command `crowsill replicas`: registered replicas, and why gateways exclude them."""

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
from crowsill.control.replica_overview import ExclusionLine, RegisteredReplicaLine


def _is_restricted(line: RegisteredReplicaLine) -> bool:
    """Whether a gateway excludes the replica or a rate limit applies to it."""
    return bool(line.exclusions) or line.limit_per_s is not None


def _format_exclusion(line: ExclusionLine) -> str:
    until = "" if line.left_s is None else f" for {line.left_s:.1f} s more"
    return f"  {line.gateway}: {line.why}{until}"


def replicas(
    excluded: Annotated[
        bool, typer.Option("--excluded", help="Only replicas that are excluded or rate-limited.")
    ] = False,
    settings: SettingsOption = DEFAULT_SETTINGS,
    as_json: JsonOption = False,
) -> None:
    """Show registered replicas, and which gateways exclude them, why and for how long."""
    response = client_of(settings).get("/v1/replicas", list[RegisteredReplicaLine])
    if not isinstance(response, Success):
        fail(response.failure())
    shown = [line for line in response.unwrap() if _is_restricted(line) or not excluded]
    if as_json:
        echo_json(shown)
        return
    for line in shown:
        version = f" version {line.software_version}" if line.software_version else ""
        models = f" holds {' '.join(line.models)}" if line.models else ""
        typer.echo(
            f"{line.service} {line.instance_id} {line.zone} {line.address} {line.state}"
            f"{version}{models}"
        )
        if line.limit_per_s is not None:
            limit = f"advertises a rate limit of {line.limit_per_s:g} requests per second"
            typer.echo(f"  {limit}: {line.granted} granted by this leader")
        for exclusion in line.exclusions:
            typer.echo(_format_exclusion(exclusion))
    if not shown:
        typer.echo("no replica is excluded or limited" if excluded else "no replica is registered")
