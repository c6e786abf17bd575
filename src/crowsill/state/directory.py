"""The replicated directory of registered replicas.

Every change has a rising version. What has gone is remembered for a while by the id of its life,
and of each replica the newest start is, so that a heartbeat that was held up on its way brings no
dead instance back and ends no newer one.
"""

from collections import OrderedDict

import msgspec

from crowsill.model.instances import (
    Instance,
    InstanceState,
    LoadedModel,
    LoadingModel,
    ReplicaHeartbeat,
)

MAX_REMEMBERED_GONE = 4000


class DirectoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """One registered replica.

    Attributes:
        heartbeat: The newest heartbeat that changed anything.
        offered_models: Models that gateways may use there, as set by the member that places
            models; None as long as no member has, so that the replica's own report counts.
        loading: Models that the replica is loading, as set by the same member.
    """

    heartbeat: ReplicaHeartbeat
    offered_models: list[LoadedModel] | None = None
    loading: list[LoadingModel] = []

    @property
    def instance(self) -> Instance:
        """The replica as gateways should see it."""
        reported = self.heartbeat.instance
        if self.offered_models is None:
            return reported
        return msgspec.structs.replace(reported, models=self.offered_models, loading=self.loading)


class DirectorySnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole directory."""

    version: int = 0
    entries: list[DirectoryEntry] = []
    gone: list[str] = []
    newest_started_ms: list[tuple[str, int]] = []


class DirectoryChange(msgspec.Struct, frozen=True, array_like=True):
    """What one version changed; `removed` holds ids."""

    version: int
    changed: list[Instance]
    removed: list[str]


class Directory:
    """Registered replicas by id.

    Attributes:
        version: Rises with every change.
        last_change: What the newest version changed, or None.
    """

    def __init__(self) -> None:
        self.version = 0
        self.last_change: DirectoryChange | None = None
        self._entries: dict[str, DirectoryEntry] = {}
        self._gone: OrderedDict[str, None] = OrderedDict()
        self._newest_started_ms: OrderedDict[str, int] = OrderedDict()

    @property
    def instances(self) -> list[Instance]:
        """All instances that are not gone, as gateways should see them."""
        return [entry.instance for entry in self._entries.values()]

    @property
    def reported(self) -> list[Instance]:
        """All instances that are not gone, as they described themselves."""
        return [entry.heartbeat.instance for entry in self._entries.values()]

    @property
    def has_offers(self) -> bool:
        """Whether a member has ever placed models on an instance that is still here."""
        return any(entry.offered_models is not None for entry in self._entries.values())

    def find(self, instance_id: str) -> Instance | None:
        """Return an instance as gateways should see it, or None."""
        entry = self._entries.get(instance_id)
        return None if entry is None else entry.instance

    def find_reported(self, instance_id: str) -> Instance | None:
        """Return an instance as it described itself, or None."""
        entry = self._entries.get(instance_id)
        return None if entry is None else entry.heartbeat.instance

    def changes(self, heartbeat: ReplicaHeartbeat) -> bool:
        """Whether taking in a heartbeat would change what is known."""
        instance = heartbeat.instance
        if instance.instance_id in self._gone:
            return False
        known = self._entries.get(instance.instance_id)
        if known is None:
            return not self._is_superseded(instance)
        if heartbeat.sequence <= known.heartbeat.sequence:
            return False
        reported = known.heartbeat.instance
        return _sticky_state(reported, instance) != reported

    def instances_of(self, replica: str) -> list[str]:
        """Return the ids of the lives of a replica that are not gone."""
        return [item.instance_id for item in self.reported if item.replica_name == replica]

    def _is_superseded(self, instance: Instance) -> bool:
        """Whether a later life of the replica is known, or of whoever has its address now."""
        if instance.started_ms < self._newest_started_ms.get(instance.replica_name, 0):
            return True
        return any(
            known.address == instance.address and 0 < instance.started_ms < known.started_ms
            for known in self.reported
        )

    def _note_started(self, instance: Instance) -> None:
        if not instance.started_ms:
            return
        self._newest_started_ms[instance.replica_name] = instance.started_ms
        self._newest_started_ms.move_to_end(instance.replica_name)
        while len(self._newest_started_ms) > MAX_REMEMBERED_GONE:
            self._newest_started_ms.popitem(last=False)

    def record(self, heartbeat: ReplicaHeartbeat) -> DirectoryChange | None:
        """Take in a heartbeat; return what changed, or None."""
        if not self.changes(heartbeat):
            return None
        instance = heartbeat.instance
        removed = self._remove_replaced(instance)
        self._note_started(instance)
        known = self._entries.get(instance.instance_id)
        offered_models: list[LoadedModel] | None = None
        loading: list[LoadingModel] = []
        if known is not None:
            instance = _sticky_state(known.heartbeat.instance, instance)
            if known.offered_models is not None:
                offered_models = _carry_over(
                    known.offered_models, known.heartbeat.instance.models, instance.models
                )
            held = {
                model.name
                for model in (instance.models if offered_models is None else offered_models)
            }
            loading = [model for model in known.loading if model.name not in held]
        entry = DirectoryEntry(
            ReplicaHeartbeat(instance, heartbeat.sequence), offered_models, loading
        )
        self._entries[instance.instance_id] = entry
        return self._changed([entry.instance], removed)

    def offer(
        self, instance_id: str, models: list[LoadedModel], loading: list[LoadingModel]
    ) -> DirectoryChange | None:
        """Record what gateways may use at an instance; return what changed, or None.

        Args:
            instance_id: The instance.
            models: What it holds and gateways may use.
            loading: Models whose load is under way there.
        """
        known = self._entries.get(instance_id)
        if known is None:
            return None
        before = known.instance
        entry = DirectoryEntry(known.heartbeat, models, loading)
        self._entries[instance_id] = entry
        return None if entry.instance == before else self._changed([entry.instance], [])

    def _changed(self, changed: list[Instance], removed: list[str]) -> DirectoryChange:
        self.version += 1
        self.last_change = DirectoryChange(self.version, changed, removed)
        return self.last_change

    def _remove_replaced(self, instance: Instance) -> list[str]:
        """Whoever had this address before is gone, and so are earlier lives of the replica."""
        former = [
            known.instance_id
            for known in self.reported
            if known.instance_id != instance.instance_id
            and (known.address == instance.address or known.replica_name == instance.replica_name)
        ]
        for instance_id in former:
            self._forget(instance_id)
        return former

    def _forget(self, instance_id: str) -> None:
        self._entries.pop(instance_id, None)
        self._gone[instance_id] = None
        while len(self._gone) > MAX_REMEMBERED_GONE:
            self._gone.popitem(last=False)

    def drain(self, instance_id: str) -> DirectoryChange | None:
        """Record that an instance leaves, by its own word; return what changed, or None.

        Heartbeats that still say ready change nothing of it: the state never rises within a life.
        """
        known = self._entries.get(instance_id)
        if known is None or not known.heartbeat.instance.accepts_work:
            return None
        draining = msgspec.structs.replace(known.heartbeat.instance, state=InstanceState.DRAINING)
        entry = DirectoryEntry(
            ReplicaHeartbeat(draining, known.heartbeat.sequence),
            known.offered_models,
            known.loading,
        )
        self._entries[instance_id] = entry
        return self._changed([entry.instance], [])

    def remove(self, instance_id: str) -> DirectoryChange | None:
        """Record that an instance is gone; return what changed, or None."""
        known = instance_id in self._entries
        self._forget(instance_id)
        return self._changed([], [instance_id]) if known else None

    def full_change(self) -> DirectoryChange:
        """Return everything as one change."""
        return DirectoryChange(self.version, self.instances, [])

    def dump(self) -> DirectorySnapshot:
        """Return the state for a snapshot."""
        entries, born = list(self._entries.values()), list(self._newest_started_ms.items())
        return DirectorySnapshot(self.version, entries, list(self._gone), born)

    def load(self, snapshot: DirectorySnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.version = snapshot.version
        self._entries = {entry.heartbeat.instance.instance_id: entry for entry in snapshot.entries}
        self._gone = OrderedDict((instance_id, None) for instance_id in snapshot.gone)
        self._newest_started_ms = OrderedDict(snapshot.newest_started_ms)


def _sticky_state(known: Instance, reported: Instance) -> Instance:
    """An instance that is draining never becomes ready again."""
    if known.state is InstanceState.DRAINING and reported.state is InstanceState.READY:
        return msgspec.structs.replace(reported, state=InstanceState.DRAINING)
    return reported


def _carry_over(
    offered_models: list[LoadedModel], before: list[LoadedModel], after: list[LoadedModel]
) -> list[LoadedModel]:
    """Carry over to what is offered what has come and gone between two heartbeats.

    >>> held = LoadedModel("a"), LoadedModel("b"), LoadedModel("c")
    >>> [item.name for item in _carry_over([held[0]], [held[0], held[1]], list(held))]
    ['a', 'c']
    """
    old = {held.name: set(held.adapters) for held in before}
    new = {held.name: set(held.adapters) for held in after}
    result: list[LoadedModel] = []
    for held in offered_models:
        if held.name in old and held.name not in new:
            continue
        gone = old.get(held.name, set()) - new.get(held.name, set())
        come = new.get(held.name, set()) - old.get(held.name, set())
        adapters = sorted((set(held.adapters) - gone) | come)
        result.append(LoadedModel(held.name, held.version, adapters))
    names = {held.name for held in offered_models}
    result.extend(held for held in after if held.name not in old and held.name not in names)
    return result
