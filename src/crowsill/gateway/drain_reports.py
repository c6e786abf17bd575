"""Reports to the control group that replicas drain, until the directory lists them so."""

import asyncio
from collections.abc import Callable

from crowsill.gateway.replica_registry import ReplicaRecord, ReplicaRegistry
from crowsill.model.instances import InstanceState
from crowsill.transport.replica_messages import DrainingInstances

# The control group records that a replica drains and informs all gateways within half this time.
REPORT_INTERVAL_S = 0.5


class DrainReports:
    """Repeats the reports of replicas that told this gateway that they drain."""

    def __init__(
        self, registry: ReplicaRegistry, notify: Callable[[DrainingInstances], bool]
    ) -> None:
        """Create it.

        Args:
            registry: The known replicas.
            notify: Sends a notice to the control group; returns whether it could be sent.
        """
        self._registry = registry
        self._notify = notify
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, record: ReplicaRecord) -> None:
        """Report a replica until the directory lists it as draining or it is removed."""
        task = asyncio.create_task(self._repeat(record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _repeat(self, record: ReplicaRecord) -> None:
        instance_id = record.instance.instance_id
        while (
            self._registry.find(instance_id) is record
            and record.listed_state is InstanceState.READY
        ):
            self._notify(DrainingInstances([instance_id]))
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def stop(self) -> None:
        """Cancel all reports."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
