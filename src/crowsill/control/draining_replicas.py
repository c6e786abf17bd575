"""Replicas that said in an answer that they leave, to a gateway or to this member.

The group records it as if their heartbeats had said so: one log entry a life, whoever hears it and
however often. So all gateways, placement and the crash watch know it.
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
    """Has the word of replicas that leave committed."""

    def __init__(
        self,
        directory: Callable[[], Directory | None],
        submit: Callable[[SubmitCommand], Awaitable[Body]],
    ) -> None:
        """Make it.

        Args:
            directory: Returns the directory of this member; None while it belongs to no group.
            submit: Has a command committed, by this member or through the leader.
        """
        self._directory = directory
        self._submit = submit
        self._telling: dict[str, asyncio.Task[None]] = {}

    def note(self, instance_ids: list[str]) -> None:
        """Have recorded that replicas leave, unless that is known or under way.

        Whoever heard it says so again until it is known, so that nothing is lost if this fails.
        """
        directory = self._directory()
        if directory is None:
            return
        for instance_id in instance_ids:
            known = directory.find_reported(instance_id)
            if known is None or not known.accepts_work or instance_id in self._telling:
                continue
            task = asyncio.create_task(self._record(instance_id))
            self._telling[instance_id] = task
            task.add_done_callback(functools.partial(self._told, instance_id))

    def _told(self, instance_id: str, _task: asyncio.Task[None]) -> None:
        self._telling.pop(instance_id, None)

    async def _record(self, instance_id: str) -> None:
        # Without a leader nobody records it now; whoever heard it says so again.
        with contextlib.suppress(ConnectionLostError):
            await self._submit(SubmitCommand(DrainInstance(instance_id)))
