"""Commits what gateways report of crashes and suspects.

A report of a crash that no leader accepts is kept and repeated: its gateway may be gone before
there is a leader, and no other process may know of the crash.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable

import msgspec

from crowsill.clock import monotonic_s, wall_s
from crowsill.control.crash_commands import to_crash_command
from crowsill.state.commands import Acknowledged, CrashCommand, RecordCrash
from crowsill.state.machine import StateMachine
from crowsill.transport.connection import ConnectionLostError
from crowsill.transport.messages import Body, NotLeader, SubmitCommand, Submitted
from crowsill.transport.replica_messages import CrashRequest

REPEAT_INTERVAL_S = 0.1
# Gateways repeat their reports for as long.
MAX_REPEAT_S = 15.0
MAX_KEPT_REPORTS = 256

# The instance, the fingerprints of the requests, and the ids of the prompts.
ReportKey = tuple[str, tuple[bytes, ...], tuple[str, ...]]


class CrashReports:
    """Commits gateways' reports at the leader, now or later."""

    def __init__(self, submit: Callable[[SubmitCommand], Awaitable[Body]]) -> None:
        """Create it.

        Args:
            submit: Commits a command, at this member or through the leader.
        """
        self._submit = submit
        self._repeat_tasks: dict[ReportKey, asyncio.Task[None]] = {}

    async def handle(self, request: CrashRequest, machine: StateMachine) -> Body:
        """Commit what a gateway reported or asked for; a second commit changes nothing.

        Args:
            request: The gateway's request.
            machine: This member's state.
        """
        command = to_crash_command(request)
        if not machine.may_have_effect(command, wall_s()):
            return Submitted(Acknowledged(False))
        received_at_s = monotonic_s()
        reply = await self._commit(command)
        if isinstance(command, RecordCrash) and not isinstance(reply, Submitted):
            self._keep(command, received_at_s)
        return reply

    async def _commit(self, command: CrashCommand) -> Body:
        try:
            return await self._submit(SubmitCommand(command))
        except ConnectionLostError:
            return NotLeader(None)

    def _keep(self, command: RecordCrash, received_at_s: float) -> None:
        key = (
            command.instance_id,
            tuple(request.fingerprint for request in command.requests),
            tuple(prompt.request_id for prompt in command.prompts),
        )
        if key in self._repeat_tasks or len(self._repeat_tasks) >= MAX_KEPT_REPORTS:
            return
        task = asyncio.create_task(self._repeat(command, received_at_s))
        self._repeat_tasks[key] = task
        task.add_done_callback(functools.partial(self._forget_task, key))

    def _forget_task(self, key: ReportKey, _task: asyncio.Task[None]) -> None:
        self._repeat_tasks.pop(key, None)

    async def _repeat(self, command: RecordCrash, received_at_s: float) -> None:
        while monotonic_s() - received_at_s < MAX_REPEAT_S:
            await asyncio.sleep(REPEAT_INTERVAL_S)
            ago_s = command.ago_s + monotonic_s() - received_at_s
            reply = await self._commit(msgspec.structs.replace(command, ago_s=ago_s))
            if isinstance(reply, Submitted):
                return

    async def stop(self) -> None:
        """Cancel the repetition of reports."""
        tasks = list(self._repeat_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
