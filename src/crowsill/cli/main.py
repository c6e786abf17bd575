"""The command `crowsill`: operators apply templates and parameters, and inspect the system.

Exit codes: 0 success, 1 rejected or failed, 2 invalid arguments.
"""

import uuid
from pathlib import Path
from typing import Annotated

import typer
from returns.result import Success

from crowsill.cli import explain_route, quarantine, replicas
from crowsill.cli.client import OperatorClient
from crowsill.cli.common import (
    DEFAULT_SETTINGS,
    JsonOption,
    SettingsOption,
    client_of,
    echo_json,
    fail,
)
from crowsill.cli.files import load_content
from crowsill.cli.trace import LogLine, parse_line, trace_request
from crowsill.control.operations import PlanResponse, Status
from crowsill.model.configuration import (
    Configuration,
    ConfigurationChange,
    ConfigurationContent,
)
from crowsill.state.commands import ConfigurationResult
from crowsill.state.configuration_store import AcceptedChange
from crowsill.transport.membership_messages import MemberAction, MembersReport, MembersRequest

application = typer.Typer(no_args_is_help=True, pretty_exceptions_enable=False)

members_application = typer.Typer(no_args_is_help=True, help="Inspect or change the control group.")
application.add_typer(members_application, name="members")
application.add_typer(quarantine.application, name="quarantine")
application.command()(explain_route.explain_route)
application.command()(replicas.replicas)

FilesArgument = Annotated[list[Path], typer.Argument(help="TOML files, or folders of them.")]


def _load_content_or_fail(files: list[Path]) -> ConfigurationContent:
    loaded = load_content(files)
    if not isinstance(loaded, Success):
        fail(*loaded.failure())
    content: ConfigurationContent = loaded.unwrap()
    return content


def _request_plan(client: OperatorClient, content: ConfigurationContent) -> PlanResponse:
    response = client.post("/v1/plan", content, PlanResponse)
    if not isinstance(response, Success):
        fail(response.failure())
    plan_response: PlanResponse = response.unwrap()
    return plan_response


def _show_plan(plan: PlanResponse) -> None:
    typer.echo(f"based on revision {plan.revision}")
    for line in plan.differences or ["no differences"]:
        typer.echo(line)
    for fault in plan.faults:
        typer.echo(f"! {fault.path}: {fault.message}")


@application.command()
def plan(files: FilesArgument, settings: SettingsOption = DEFAULT_SETTINGS) -> None:
    """Show what applying the files would change, and whether it would be accepted."""
    plan_response = _request_plan(client_of(settings), _load_content_or_fail(files))
    _show_plan(plan_response)
    if plan_response.faults:
        raise typer.Exit(1)


@application.command()
def apply(
    files: FilesArgument,
    settings: SettingsOption = DEFAULT_SETTINGS,
    base: Annotated[
        int | None,
        typer.Option(help="Revision that the change is based on; default: the current one."),
    ] = None,
    change_id: Annotated[
        str | None, typer.Option(help="Id of the change; use the same one to send it again.")
    ] = None,
) -> None:
    """Apply the files as one change, which takes effect everywhere within seconds."""
    client = client_of(settings)
    content = _load_content_or_fail(files)
    planned = _request_plan(client, content)
    if not planned.differences:
        typer.echo(f"no differences; revision {planned.revision} stays in effect")
        return
    revision = planned.revision if base is None else base
    identifier = change_id or uuid.uuid4().hex
    change = ConfigurationChange(identifier, revision, content, client.settings.author)
    response = client.post("/v1/changes", change, ConfigurationResult)
    if not isinstance(response, Success):
        hint = f"send it again with --base {revision} --change-id {identifier}"
        fail(response.failure(), f"if the outcome is unknown, {hint}")
    result = response.unwrap()
    typer.echo(f"{result.decision}: revision {result.revision} (change {identifier})")


@application.command()
def status(settings: SettingsOption = DEFAULT_SETTINGS, as_json: JsonOption = False) -> None:
    """Show control members, the revision in effect at each entry, and back ends."""
    response = client_of(settings).get("/v1/status", Status)
    if not isinstance(response, Success):
        fail(response.failure())
    found = response.unwrap()
    if as_json:
        echo_json(found)
        return
    source = "confirmed by the leader's lease" if found.confirmed else "as known to this member"
    typer.echo(f"revision {found.revision}, {source} ({found.node}, {found.role})")
    typer.echo("control members:")
    for member in found.members:
        marks = ("leader" if member.leads else "") + ("" if member.voter else " learner")
        typer.echo(f"  {member.name:16} {member.address:22} {member.member_id} {marks}")
    typer.echo("entries:")
    for entry in found.entries:
        mark = "" if entry.current else "  BEHIND"
        typer.echo(f"  {entry.zone:16} {entry.node:16} revision {entry.revision}{mark}")
    typer.echo(f"back ends ({found.orders} orders not settled):")
    for replica in found.replicas:
        state = "serving" if replica.accepts_work else "draining or unreachable"
        load = f"running {replica.running} waiting {replica.waiting}"
        typer.echo(f"  {replica.zone:16} {replica.replica_id:16} {state} {load}")
        if replica.resident:
            typer.echo(f"    holds {' '.join(replica.resident)}")


@application.command()
def history(settings: SettingsOption = DEFAULT_SETTINGS, as_json: JsonOption = False) -> None:
    """Show accepted changes, oldest first."""
    response = client_of(settings).get("/v1/history", list[AcceptedChange])
    if not isinstance(response, Success):
        fail(response.failure())
    if as_json:
        echo_json(response.unwrap())
        return
    for change in response.unwrap():
        names = [item.name for item in change.content.templates]
        names += [item.tenant for item in change.content.parameters]
        typer.echo(f"{change.revision:6} {change.change_id:34} {change.author} {' '.join(names)}")


@application.command()
def show(
    revision: Annotated[
        int | None, typer.Option(help="Revision to show; default: the one in effect.")
    ] = None,
    settings: SettingsOption = DEFAULT_SETTINGS,
) -> None:
    """Print the configuration at a revision as JSON."""
    client = client_of(settings)
    current = client.get("/v1/configuration", Configuration)
    if not isinstance(current, Success):
        fail(current.failure())
    found: Configuration | None = current.unwrap()
    if revision is not None and revision != current.unwrap().revision:
        history_response = client.get("/v1/history", list[AcceptedChange])
        if not isinstance(history_response, Success):
            fail(history_response.failure())
        found = configuration_at(history_response.unwrap(), revision)
    if found is None:
        fail(f"revision {revision} is not in the retained history")
    echo_json(found)


@application.command()
def explain(
    model: Annotated[str, typer.Argument(help="A model, or model:adapter.")],
    settings: SettingsOption = DEFAULT_SETTINGS,
) -> None:
    """Show which replicas hold a model, their state and their load."""
    response = client_of(settings).get("/v1/status", Status)
    if not isinstance(response, Success):
        fail(response.failure())
    holders = [item for item in response.unwrap().replicas if model in item.resident]
    for replica in holders:
        state = "serving" if replica.accepts_work else "draining or unreachable"
        load = f"running {replica.running}, waiting {replica.waiting}"
        typer.echo(f"{replica.replica_id:16} {replica.zone:16} {state}, {load}")
    if not holders:
        fail(f"no back end holds {model!r}; the leader's log shows decisions as E501")


@application.command()
def trace(
    request_id: Annotated[str, typer.Argument(help="The caller's id of the request.")],
    logs: Annotated[list[Path], typer.Argument(help="Saved logs of gateways and members.")],
) -> None:
    """Show the events of a request in saved logs, and the events that caused them."""
    lines: list[LogLine] = []
    for path in logs:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            fail(f"{path}: {error.strerror}")
        lines.extend(line for line in map(parse_line, text.splitlines()) if line is not None)
    shown = trace_request(lines, request_id)
    if not shown:
        fail(f"no log line has the request id {request_id!r}")
    for line in shown:
        typer.echo(line)


@application.command()
def rollback(
    revision: Annotated[int, typer.Argument(help="Revision whose content to restore.")],
    settings: SettingsOption = DEFAULT_SETTINGS,
) -> None:
    """Restore the content of an older revision, as a new revision with a higher number."""
    client = client_of(settings)
    current = client.get("/v1/configuration", Configuration)
    history_response = client.get("/v1/history", list[AcceptedChange])
    if not isinstance(current, Success):
        fail(current.failure())
    if not isinstance(history_response, Success):
        fail(history_response.failure())
    content = _rollback_content(current.unwrap(), history_response.unwrap(), revision)
    if content is None:
        fail(f"revision {revision} is not in the retained history")
    now = current.unwrap().revision
    identifier = f"rollback-{now}-to-{revision}"
    change = ConfigurationChange(identifier, now, content, client.settings.author)
    response = client.post("/v1/changes", change, ConfigurationResult)
    if not isinstance(response, Success):
        fail(response.failure())
    typer.echo(f"{response.unwrap().decision}: revision {response.unwrap().revision}")


def _show_members(report: MembersReport) -> None:
    for member in report.members:
        role = "leader" if member.leads else "voter" if member.voter else "learner"
        marks = f", replaces {member.replaces}" if member.replaces else ""
        state = f"{role}, {member.behind} entries behind, silent for {member.silent_s} s{marks}"
        typer.echo(f"{member.name:16} {member.address:22} {member.member_id:32} {state}")
    typer.echo(
        "the group is fully replicated"
        if report.is_fully_replicated
        else "THE GROUP IS NOT FULLY REPLICATED"
    )
    typer.echo(report.risk)


def _change_members(settings: Path, request: MembersRequest) -> None:
    response = client_of(settings).post("/v1/members", request, MembersReport)
    if not isinstance(response, Success):
        fail(response.failure())
    _show_members(response.unwrap())


@members_application.command("list")
def members_list(settings: SettingsOption = DEFAULT_SETTINGS, as_json: JsonOption = False) -> None:
    """Show the control members, and whether the group is fully replicated; exit with 1 if not."""
    response = client_of(settings).get("/v1/members", MembersReport)
    if not isinstance(response, Success):
        fail(response.failure())
    report = response.unwrap()
    if as_json:
        echo_json(report)
    else:
        _show_members(report)
    if not report.is_fully_replicated:
        raise typer.Exit(1)


@members_application.command("add")
def members_add(host: str, port: int, settings: SettingsOption = DEFAULT_SETTINGS) -> None:
    """Add the empty member that listens at HOST and PORT; it votes once it has caught up."""
    _change_members(settings, MembersRequest(MemberAction.ADD, "new", host, port))


@members_application.command("remove")
def members_remove(name: str, settings: SettingsOption = DEFAULT_SETTINGS) -> None:
    """Remove a member."""
    _change_members(settings, MembersRequest(MemberAction.REMOVE, name))


@members_application.command("replace")
def members_replace(
    name: str, host: str, port: int, settings: SettingsOption = DEFAULT_SETTINGS
) -> None:
    """Replace member NAME by the empty one at HOST and PORT, once that has caught up."""
    _change_members(settings, MembersRequest(MemberAction.REPLACE, name, host, port))


def configuration_at(accepted_changes: list[AcceptedChange], revision: int) -> Configuration | None:
    """Return the configuration at a revision; None if the retained history does not have it."""
    if (
        not accepted_changes
        or accepted_changes[0].revision != 1
        or not 0 <= revision <= accepted_changes[-1].revision
    ):
        return None
    found = Configuration()
    for change in accepted_changes[:revision]:
        found = found.with_content(change.content, change.revision)
    return found


def _rollback_content(
    current: Configuration, accepted_changes: list[AcceptedChange], revision: int
) -> ConfigurationContent | None:
    """Return the change from `current` back to `revision`; None if the history is too short."""
    old = configuration_at(accepted_changes, revision)
    if old is None:
        return None
    return ConfigurationContent(
        templates=list(old.templates.values()),
        parameters=list(old.parameters.values()),
        removed_templates=sorted(current.templates.keys() - old.templates.keys()),
        removed_tenants=sorted(current.parameters.keys() - old.parameters.keys()),
    )


if __name__ == "__main__":
    application()
