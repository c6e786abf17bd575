"""The replicated directory of registered replicas.

Every change increments the version. The directory remembers the ids of incarnations that are gone
and the latest start of each replica for a limited time. So a delayed heartbeat neither restores an
incarnation that is gone nor replaces a newer one.
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
# Recorded instead of None, which earlier builds can't read. No service has an empty name.
UNKNOWN_HISTORY: dict[str, str | None] = {"": None}


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
        """The replica as gateways see it."""
        reported = self.heartbeat.instance
        if self.offered_models is None:
            return reported
        return msgspec.structs.replace(reported, models=self.offered_models, loading=self.loading)


class DirectorySnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The full directory.

    Attributes:
        version: See `Directory`.
        entries: The registered instances.
        gone: Ids of instances that are gone, the oldest first.
        newest_started_ms: Newest start time by replica name, the oldest entry first.
        sole_versions: See `Directory`; None in a snapshot of an earlier build, which kept none, and
            `UNKNOWN_HISTORY` if such a build has recorded part of the history.
    """

    version: int = 0
    entries: list[DirectoryEntry] = []
    gone: list[str] = []
    newest_started_ms: list[tuple[str, int]] = []
    sole_versions: dict[str, str | None] | None = None


class DirectoryChange(msgspec.Struct, frozen=True, array_like=True):
    """The changes of one version.

    Attributes:
        version: The version.
        changed: Instances that are new or have changed.
        removed: Ids of instances that are gone.
    """

    version: int
    changed: list[Instance]
    removed: list[str]


class Directory:
    """Registered replicas by id.

    Attributes:
        version: Increases with every change.
        last_change: The changes of the latest version, or None.
    """

    def __init__(self) -> None:
        self.version = 0
        self.last_change: DirectoryChange | None = None
        self._entries: dict[str, DirectoryEntry] = {}
        self._gone: OrderedDict[str, None] = OrderedDict()
        self._newest_started_ms: OrderedDict[str, int] = OrderedDict()
        # The only software version that replicas of a service ever had; None if there were several.
        # It outlives the replicas: a stream may be resumed after the last replica of the version
        # that began it has left. None as a whole if part of the history is not known.
        self._sole_versions: dict[str, str | None] | None = {}

    def sole_version(self, service: str) -> str | None:
        """Return the only software version that replicas of a service ever had.

        None if there were several or none, or if that is not known.
        """
        return None if self._sole_versions is None else self._sole_versions.get(service)

    @property
    def instances(self) -> list[Instance]:
        """All instances that are not gone, as gateways see them."""
        return [entry.instance for entry in self._entries.values()]

    @property
    def reported(self) -> list[Instance]:
        """All instances that are not gone, as they reported themselves."""
        return [entry.heartbeat.instance for entry in self._entries.values()]

    @property
    def has_offers(self) -> bool:
        """Whether a member has ever placed models on an instance that is still registered."""
        return any(entry.offered_models is not None for entry in self._entries.values())

    def find(self, instance_id: str) -> Instance | None:
        """Return an instance as gateways see it, or None."""
        entry = self._entries.get(instance_id)
        return None if entry is None else entry.instance

    def find_reported(self, instance_id: str) -> Instance | None:
        """Return an instance as it reported itself, or None."""
        entry = self._entries.get(instance_id)
        return None if entry is None else entry.heartbeat.instance

    def would_change(self, heartbeat: ReplicaHeartbeat) -> bool:
        """Return whether recording a heartbeat would change the directory."""
        instance = heartbeat.instance
        if instance.instance_id in self._gone:
            return False
        known = self._entries.get(instance.instance_id)
        if known is None:
            return not self._is_superseded(instance)
        if heartbeat.sequence <= known.heartbeat.sequence:
            return False
        reported = known.heartbeat.instance
        return _keep_draining(reported, instance) != reported

    def instances_of(self, replica: str) -> list[str]:
        """Return the ids of the incarnations of a replica that are not gone."""
        return [item.instance_id for item in self.reported if item.replica_name == replica]

    def _is_superseded(self, instance: Instance) -> bool:
        """Return whether a later incarnation of the replica, or at its address, is known."""
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
        """Record a heartbeat; return the change, or None."""
        if not self.would_change(heartbeat):
            return None
        instance = heartbeat.instance
        removed = self._remove_replaced(instance)
        self._note_started(instance)
        known = self._entries.get(instance.instance_id)
        offered_models: list[LoadedModel] | None = None
        loading: list[LoadingModel] = []
        if known is not None:
            instance = _keep_draining(known.heartbeat.instance, instance)
            if known.offered_models is not None:
                offered_models = _carry_over(
                    known.offered_models, known.heartbeat.instance.models, instance.models
                )
            loaded_names = {
                model.name
                for model in (instance.models if offered_models is None else offered_models)
            }
            loading = [model for model in known.loading if model.name not in loaded_names]
        entry = DirectoryEntry(
            ReplicaHeartbeat(instance, heartbeat.sequence), offered_models, loading
        )
        self._entries[instance.instance_id] = entry
        self._note_version(instance)
        return self._changed([entry.instance], removed)

    def _note_version(self, instance: Instance) -> None:
        """Record the software version of an instance."""
        if self._sole_versions is None:
            return
        version = instance.software_version
        if self._sole_versions.setdefault(instance.service, version) != version:
            self._sole_versions[instance.service] = None

    def offer(
        self, instance_id: str, models: list[LoadedModel], loading: list[LoadingModel]
    ) -> DirectoryChange | None:
        """Record which models gateways may use at an instance; return the change, or None.

        Args:
            instance_id: The instance.
            models: Loaded models that gateways may use.
            loading: Models that the instance is loading.
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
        """Remove other instances with the same address or replica name; return their ids."""
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
        """Record that an instance reported that it drains; return the change, or None.

        Later heartbeats with the state `ready` do not revert this, because an incarnation that
        drains never becomes ready again.
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
        """Record that an instance is gone; return the change, or None."""
        known = instance_id in self._entries
        self._forget(instance_id)
        return self._changed([], [instance_id]) if known else None

    def full_change(self) -> DirectoryChange:
        """Return the full directory as one change."""
        return DirectoryChange(self.version, self.instances, [])

    def dump(self) -> DirectorySnapshot:
        """Return the state for a snapshot."""
        entries, started = list(self._entries.values()), list(self._newest_started_ms.items())
        return DirectorySnapshot(
            self.version,
            entries,
            list(self._gone),
            started,
            UNKNOWN_HISTORY if self._sole_versions is None else self._sole_versions,
        )

    def load(self, snapshot: DirectorySnapshot) -> None:
        """Replace the state from a snapshot."""
        self.version = snapshot.version
        self._entries = {entry.heartbeat.instance.instance_id: entry for entry in snapshot.entries}
        self._gone = OrderedDict((instance_id, None) for instance_id in snapshot.gone)
        self._newest_started_ms = OrderedDict(snapshot.newest_started_ms)
        versions = snapshot.sole_versions
        # An earlier build may have added services to a history that is not known.
        is_unknown = versions is None or versions.keys() >= UNKNOWN_HISTORY.keys()
        self._sole_versions = None if versions is None or is_unknown else dict(versions)


def _keep_draining(known: Instance, reported: Instance) -> Instance:
    """Return the reported instance, but still draining if it drained before."""
    if known.state is InstanceState.DRAINING and reported.state is InstanceState.READY:
        return msgspec.structs.replace(reported, state=InstanceState.DRAINING)
    return reported


def _carry_over(
    offered_models: list[LoadedModel], before: list[LoadedModel], after: list[LoadedModel]
) -> list[LoadedModel]:
    """Apply the models and adapters added or removed between two heartbeats to the offer.

    >>> loaded = LoadedModel("a"), LoadedModel("b"), LoadedModel("c")
    >>> [item.name for item in _carry_over([loaded[0]], [loaded[0], loaded[1]], list(loaded))]
    ['a', 'c']
    """
    old = {loaded.name: set(loaded.adapters) for loaded in before}
    new = {loaded.name: set(loaded.adapters) for loaded in after}
    result: list[LoadedModel] = []
    for loaded in offered_models:
        if loaded.name in old and loaded.name not in new:
            continue
        removed = old.get(loaded.name, set()) - new.get(loaded.name, set())
        added = new.get(loaded.name, set()) - old.get(loaded.name, set())
        adapters = sorted((set(loaded.adapters) - removed) | added)
        result.append(LoadedModel(loaded.name, loaded.version, adapters))
    names = {loaded.name for loaded in offered_models}
    result.extend(loaded for loaded in after if loaded.name not in old and loaded.name not in names)
    return result
