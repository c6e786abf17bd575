"""The replicated directory of registered replicas.

Every change has a rising version. What has gone is remembered for a while by its id, so that a
heartbeat that was held up on its way cannot bring a dead instance back.
"""

from collections import OrderedDict

import msgspec

from crowsill.model.instances import Beat, Instance, InstanceState

REMEMBERED_GONE = 4000


class DirectorySnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole directory."""

    version: int = 0
    instances: list[Beat] = []
    gone: list[str] = []


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
        self._beats: dict[str, Beat] = {}
        self._gone: OrderedDict[str, None] = OrderedDict()

    @property
    def instances(self) -> list[Instance]:
        """All instances that are not gone."""
        return [beat.instance for beat in self._beats.values()]

    def find(self, instance_id: str) -> Instance | None:
        """Return an instance, or None."""
        beat = self._beats.get(instance_id)
        return None if beat is None else beat.instance

    def changes(self, beat: Beat) -> bool:
        """Whether taking in a heartbeat would change what others must know."""
        instance = beat.instance
        if instance.instance_id in self._gone:
            return False
        known = self._beats.get(instance.instance_id)
        if known is None:
            return True
        if beat.sequence <= known.sequence:
            return False
        return _merged(known.instance, instance) != known.instance

    def record(self, beat: Beat) -> DirectoryChange | None:
        """Take in a heartbeat; return what changed, or None."""
        if not self.changes(beat):
            return None
        instance = beat.instance
        removed = self._displace(instance)
        known = self._beats.get(instance.instance_id)
        if known is not None:
            instance = _merged(known.instance, instance)
        self._beats[instance.instance_id] = Beat(instance, beat.sequence)
        self.version += 1
        self.last_change = DirectoryChange(self.version, [instance], removed)
        return self.last_change

    def _displace(self, instance: Instance) -> list[str]:
        """Whoever had this address before is gone."""
        former = [
            known.instance.instance_id
            for known in self._beats.values()
            if known.instance.address == instance.address
            and known.instance.instance_id != instance.instance_id
        ]
        for instance_id in former:
            self._forget(instance_id)
        return former

    def _forget(self, instance_id: str) -> None:
        self._beats.pop(instance_id, None)
        self._gone[instance_id] = None
        while len(self._gone) > REMEMBERED_GONE:
            self._gone.popitem(last=False)

    def remove(self, instance_id: str) -> DirectoryChange | None:
        """Record that an instance is gone; return what changed, or None."""
        known = instance_id in self._beats
        self._forget(instance_id)
        if not known:
            return None
        self.version += 1
        self.last_change = DirectoryChange(self.version, [], [instance_id])
        return self.last_change

    def whole(self) -> DirectoryChange:
        """Return everything as one change."""
        return DirectoryChange(self.version, self.instances, [])

    def dump(self) -> DirectorySnapshot:
        """Return the state for a snapshot."""
        return DirectorySnapshot(self.version, list(self._beats.values()), list(self._gone))

    def load(self, snapshot: DirectorySnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.version = snapshot.version
        self._beats = {beat.instance.instance_id: beat for beat in snapshot.instances}
        self._gone = OrderedDict((instance_id, None) for instance_id in snapshot.gone)


def _merged(known: Instance, reported: Instance) -> Instance:
    """An instance that is draining never becomes ready again."""
    if known.state is InstanceState.DRAINING and reported.state is InstanceState.READY:
        return msgspec.structs.replace(reported, state=InstanceState.DRAINING)
    return reported
