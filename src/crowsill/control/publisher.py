"""Pushes the effect of each applied command to a member's followers, and logs it."""

import asyncio

from crowsill.control.subscribers import Subscribers
from crowsill.events import Event
from crowsill.logs import log_event
from crowsill.metrics import (
    DIRECTORY_VERSION,
    QUARANTINED,
    QUARANTINED_PARTS,
    REVISION,
    ROUTES_VERSION,
)
from crowsill.model.configuration import ConfigurationDelta
from crowsill.model.prompt_parts import format_parts
from crowsill.model.suspects import CRASH_LIMIT, SuspectCrashes, fingerprint_list
from crowsill.state.commands import (
    Acknowledged,
    ChangeConfiguration,
    ClearSuspects,
    Command,
    CommandResult,
    ConfigurationDecision,
    ConfigurationResult,
    DirectoryCommand,
    DrainInstance,
    PublishRoutes,
    RecordCrash,
    RecordHeartbeat,
    RemoveInstance,
)
from crowsill.state.machine import StateMachine


class ChangePublisher:
    """Publishes changes to the entries and gateways that follow one member."""

    def __init__(self, machine: StateMachine, subscribers: Subscribers) -> None:
        self._machine = machine
        self._subscribers = subscribers
        self._is_routes_push_scheduled = False
        self._suspects_version = 0
        self._quarantined_parts: set[tuple[bytes, ...]] = set()

    def on_applied(self, command: Command, result: CommandResult) -> None:
        """Publish the effect of an applied command."""
        self._publish_suspects(command)
        if isinstance(result, Acknowledged) and result.accepted:
            self._publish_change(command)
        if not isinstance(command, ChangeConfiguration):
            return
        if not isinstance(result, ConfigurationResult):
            return
        change = command.change
        if result.decision is not ConfigurationDecision.ACCEPTED:
            log_event(
                Event.CONFIGURATION_REFUSED,
                change=change.change_id,
                decision=result.decision,
                detail=result.detail,
            )
            return
        REVISION.set(result.revision)
        log_event(Event.CONFIGURATION_ACCEPTED, change=change.change_id, revision=result.revision)
        self._subscribers.push_configuration(ConfigurationDelta(result.revision, change.content))

    def _publish_change(self, command: Command) -> None:
        """Push a command's change to gateways."""
        directory = self._machine.directory
        match command:
            case PublishRoutes():
                version = command.document.version
                size = len(command.document.content)
                log_event(Event.ROUTES_PUBLISHED, version=version, bytes=size)
                ROUTES_VERSION.set(version)
                self._schedule_routes_push()
            case RecordHeartbeat():
                instance = command.heartbeat.instance
                log_event(
                    Event.INSTANCE_RECORDED,
                    replica=instance.instance_id,
                    service=instance.service,
                    address=instance.address,
                    state=instance.state,
                    models=",".join(held.name for held in instance.models),
                    in_memory=",".join(instance.in_memory),
                    on_disk=",".join(instance.on_disk),
                    sequence=command.heartbeat.sequence,
                    directory=directory.version,
                )
            case DrainInstance():
                log_event(
                    Event.INSTANCE_LEAVES,
                    replica=command.instance_id,
                    directory=directory.version,
                )
            case RemoveInstance():
                log_event(
                    Event.INSTANCE_REMOVED,
                    replica=command.instance_id,
                    directory=directory.version,
                )
        if isinstance(command, PublishRoutes) or directory.last_change is None:
            return
        DIRECTORY_VERSION.set(directory.version)
        if isinstance(command, DirectoryCommand):
            self._subscribers.push_directory(directory.last_change)

    def _publish_suspects(self, command: Command) -> None:
        """Push to gateways the requests during which replicas crashed, if they have changed."""
        record = self._machine.crashes
        changes = [item for item in record.changes if item.version > self._suspects_version]
        if not changes:
            return
        self._suspects_version = changes[-1].version
        QUARANTINED.set(sum(suspect.is_quarantined for suspect in record.suspects))
        changed = [item for change in changes for item in change.changed]
        cleared = [item.fingerprint.hex() for item in changed if not item.crashed_instances]
        if cleared:
            reason = command.reason if isinstance(command, ClearSuspects) else "explained by others"
            log_event(Event.SUSPECTS_CLEARED, requests=",".join(cleared), why=reason)
        if isinstance(command, RecordCrash):
            log_event(
                Event.CRASH_RECORDED,
                replica=command.instance_id,
                requests=len(command.requests),
                fingerprints=fingerprint_list(command.requests),
                parts=",".join(format_parts(prompt.parts) for prompt in command.prompts),
            )
        self._log_quarantined(changed)
        self._log_parts(command)
        for change in changes:
            self._subscribers.push_suspects(change)

    def _log_parts(self, command: Command) -> None:
        """Log the parts of prompts that have been put into quarantine, or are there no longer."""
        known = {tuple(item.parts): item for item in self._machine.crashes.parts.quarantined}
        QUARANTINED_PARTS.set(len(known))
        for parts in self._quarantined_parts - set(known):
            reason = command.reason if isinstance(command, ClearSuspects) else "sound or too old"
            log_event(Event.SUSPECTS_CLEARED, parts=format_parts(list(parts)), why=reason)
        for parts in set(known) - self._quarantined_parts:
            item = known[parts]
            log_event(
                Event.PARTS_QUARANTINED,
                parts=format_parts(item.parts),
                replicas=",".join(item.crashed_instances),
                prompts=item.prompts,
                request=item.request_id,
            )
        self._quarantined_parts = set(known)

    def _log_quarantined(self, changed: list[SuspectCrashes]) -> None:
        """Log each request that this crash has put into quarantine."""
        for item in changed:
            suspect = self._machine.crashes.find(item.fingerprint)
            if suspect is None or len(suspect.counted_crashes) != CRASH_LIMIT:
                continue
            log_event(
                Event.REQUEST_QUARANTINED,
                fingerprint=item.fingerprint.hex(),
                request=suspect.request.request_id,
                place=suspect.request.host_and_path,
                service=suspect.request.service,
                replicas=",".join(suspect.crashed_instances),
            )

    def _schedule_routes_push(self) -> None:
        """Send the routes once for all versions that are applied in one event loop pass.

        A restarted member applies hundreds of versions; gateways need only the newest.
        """
        if self._is_routes_push_scheduled:
            return
        self._is_routes_push_scheduled = True
        asyncio.get_running_loop().call_soon(self._push_routes)

    def _push_routes(self) -> None:
        self._is_routes_push_scheduled = False
        self._subscribers.push_routes()
