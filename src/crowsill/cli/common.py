"""Shared parts of all commands of `crowsill`: common options, the client and error handling."""

from pathlib import Path
from typing import Annotated, NoReturn

import msgspec
import typer
from returns.result import Success

from crowsill.cli.client import OperatorClient, load_operator_settings

SettingsOption = Annotated[
    Path, typer.Option("--settings", "-s", help="The operator's settings file (TOML).")
]
DEFAULT_SETTINGS = Path("crowsill.toml")
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print the complete response as JSON, for other programs.")
]


def fail(*lines: str) -> NoReturn:
    """Print error messages and exit with status 1."""
    for line in lines:
        typer.echo(f"crowsill: {line}", err=True)
    raise typer.Exit(1)


def echo_json(value: object) -> None:
    """Print a value as JSON, with the names of its fields."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def client_of(settings: Path) -> OperatorClient:
    """Return a client with the operator's settings; exit with status 1 if they are invalid."""
    loaded = load_operator_settings(settings)
    if not isinstance(loaded, Success):
        fail(loaded.failure())
    return OperatorClient(loaded.unwrap())
