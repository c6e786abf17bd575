"""Commits that replicas drain when they report it in responses to a gateway or this member.

The group records it as if a heartbeat had reported it: one log entry for each incarnation, however
many processes receive the response. So all gateways, placement and the crash watch know it.
"""

import asyncio
import contextlib
import functools
from collections.abc import Awaitable, Callable

from crowsill.state.commands import DrainInstance
from crowsill.state.directory import Directory
from crowsill.transport.connection import ConnectionLostError
from crowsill.transport.messages import Body, SubmitCommand


class DrainingReplicas:
    """Commits the draining of replicas that announced it in a response."""

    def __init__(
        self,
        directory: Callable[[], Directory | None],
        submit: Callable[[SubmitCommand], Awaitable[Body]],
    ) -> None:
        """Make the recorder.

        Args:
            directory: Returns this member's directory; None while the member belongs to no group.
            submit: Commits a command, at this member or through the leader.
        """
        self._directory = directory
        self._submit = submit
        self._record_tasks: dict[str, asyncio.Task[None]] = {}

    def note(self, instance_ids: list[str]) -> None:
        """Record that replicas drain, unless that is already known or being committed.

        The senders of this notice repeat it until the change is known, so a failure loses nothing.
        """
        directory = self._directory()
        if directory is None:
            return
        for instance_id in instance_ids:
            known = directory.find_reported(instance_id)
            if known is None or not known.accepts_work or instance_id in self._record_tasks:
                continue
            task = asyncio.create_task(self._record(instance_id))
            self._record_tasks[instance_id] = task
            task.add_done_callback(functools.partial(self._forget_task, instance_id))

    def _forget_task(self, instance_id: str, _task: asyncio.Task[None]) -> None:
        self._record_tasks.pop(instance_id, None)

    async def _record(self, instance_id: str) -> None:
        # Without a leader the commit fails; the senders of the notice repeat it.
        with contextlib.suppress(ConnectionLostError):
            await self._submit(SubmitCommand(DrainInstance(instance_id)))
