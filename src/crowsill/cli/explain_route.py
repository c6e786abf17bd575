"""The command `crowsill explain-route`: where a request would go now, without sending it."""

import asyncio
from typing import Annotated
from urllib.parse import urlencode

import aiohttp
import msgspec
import typer

from crowsill.cli.common import JsonOption, echo_json, fail
from crowsill.model.explanations import (
    ChoiceExplanation,
    ReplicaExplanation,
    RequestDescription,
)
from crowsill.transport.bounded_read import read_bounded

TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 1 << 20
HEADER = ("replica", "zone", "expected", "score", "own", "work left", "load", "peers", "why not")


async def _ask(gateway: str, description: RequestDescription) -> tuple[int, bytes]:
    query = urlencode(msgspec.to_builtins(description))
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(f"{gateway.rstrip('/')}/explain/route?{query}") as response,
    ):
        return response.status, await read_bounded(response, MAX_RESPONSE_BYTES)


def fetch_explanation(gateway: str, description: RequestDescription) -> ChoiceExplanation:
    """Ask a gateway; exit with status 1 if it does not explain the choice."""
    try:
        status, body = asyncio.run(_ask(gateway, description))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        fail(f"{gateway}: {error or 'no response within 5 s'}")
    if status != 200:
        fail(f"{gateway}: {body.decode(errors='replace').strip()}")
    try:
        return msgspec.json.decode(body, type=ChoiceExplanation)
    except msgspec.DecodeError as error:
        fail(f"{gateway}: no explanation: {error}")


def _ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f} ms"


def _age(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f} s"


def _row(replica: ReplicaExplanation) -> tuple[str, ...]:
    mark = "* " if replica.is_chosen else "  "
    left = "" if replica.excluded_for_s is None else f" for {replica.excluded_for_s:.1f} s more"
    return (
        mark + replica.instance_id,
        replica.zone,
        _ms(replica.expected_ms),
        _ms(replica.score_ms),
        str(replica.own_requests),
        _ms(replica.work_left_ms),
        _age(replica.load_age_s),
        _age(replica.peers_age_s),
        replica.excluded + left,
    )


def format_explanation(explanation: ChoiceExplanation) -> list[str]:
    """Return the lines of a table."""
    tenant = explanation.tenant or "none"
    lines = [
        f"route {explanation.route}, service {explanation.service}, tenant {tenant}, "
        f"rank {explanation.rank}"
    ]
    if explanation.cost_ms is not None:
        lines.append(
            f"expected cost {_ms(explanation.cost_ms)}, "
            f"nine in ten below {_ms(explanation.cost_90_ms)}"
        )
    verb = "would go to" if explanation.is_chosen else "would not be sent:"
    lines.append(f"{verb} {explanation.outcome}")
    rows = [HEADER, *(_row(replica) for replica in explanation.replicas)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEADER))]
    lines.extend(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )
    if explanation.omitted:
        lines.append(f"{explanation.omitted} more replicas are not shown")
    return lines


def explain_route(
    gateway: Annotated[str, typer.Argument(help="`http://IP:port` of its ready listener.")],
    *,
    host: Annotated[str, typer.Option(help="Host of the request.")],
    path: Annotated[str, typer.Option(help="Path of the request.")] = "/",
    method: Annotated[str, typer.Option(help="HTTP method.")] = "POST",
    tenant: Annotated[str, typer.Option(help="Name of the caller's tenant.")] = "",
    service: Annotated[str, typer.Option(help="One of the route's services.")] = "",
    model: Annotated[str, typer.Option(help="Model.")] = "",
    adapter: Annotated[str, typer.Option(help="Adapter of the model.")] = "",
    prompt_tokens: Annotated[int, typer.Option(min=0, help="Tokens of the prompt.")] = 0,
    output_tokens: Annotated[int, typer.Option(min=0, help="Maximum tokens of the output.")] = 0,
    length_hint: Annotated[float, typer.Option(min=0, help="Hint of the length; 0 for none.")] = 0,
    body_bytes: Annotated[int, typer.Option(min=0, help="Size of the body.")] = 0,
    as_json: JsonOption = False,
) -> None:
    """Show where a request would go now, and why. Exits with 1 if no replica would be chosen."""
    description = RequestDescription(
        host,
        path,
        method,
        tenant,
        service,
        model,
        adapter,
        prompt_tokens,
        output_tokens,
        length_hint,
        body_bytes,
    )
    explanation = fetch_explanation(gateway, description)
    if as_json:
        echo_json(explanation)
    else:
        for line in format_explanation(explanation):
            typer.echo(line)
    if not explanation.is_chosen:
        raise typer.Exit(1)
