"""Bounds what a gateway has in flight at replicas that crash if they reject too many. Pure.

A brittle replica says in all its responses how many requests a second it can reject; beyond that it
crashes, whichever gateways sent them. It may also let fewer requests wait than before, without
notice. No gateway sees what the others send, so all of them together send only what the replica
runs at once: its slots are divided among them. Requests that must wait do so at their gateways.
"""

import zlib
from dataclasses import dataclass, field

from crowsill.gateway.replica_registry import ReplicaRecord

# Brittleness that no response has confirmed for this time is forgotten.
LIFETIME_S = 60.0
# After a rejection, all gateways together send a replica this share of the requests that it can
# reject in a second, beyond those that it has accepted.
PROBE_SHARE = 0.5
MIN_PROBE_INTERVAL_S = 1.0
# A replica that can reject nothing is still probed, as if it could reject this many a second.
MIN_REJECTIONS_PER_S = 0.5


@dataclass(slots=True)
class ReducedBound:
    """What a gateway may have in flight at a replica that rejected a request.

    Attributes:
        max_in_flight: Requests that the replica had accepted and not completed.
        reduced_at_s: Monotonic time of the rejection.
        interval_s: Time after which it may have one more, and then another one.
    """

    max_in_flight: int
    reduced_at_s: float
    interval_s: float

    def current(self, now_s: float) -> int:
        """Return the bound at a time.

        >>> [ReducedBound(1, 10.0, 2.0).current(at_s) for at_s in (10.0, 12.0, 14.5)]
        [1, 2, 3]
        """
        return self.max_in_flight + int(max(0.0, now_s - self.reduced_at_s) / self.interval_s)


@dataclass(slots=True)
class BrittleReplicas:
    """The brittle replicas of one service, as this gateway knows them.

    The replicas of a service become brittle together. One that has sent no response since the first
    of them said so counts as brittle, also a new incarnation of one that crashed.

    Attributes:
        gateway: Name of this gateway; decides which replicas it uses if there are fewer slots than
            gateways.

    >>> service = BrittleReplicas("g1")
    >>> service.note_brittle("a", 2.0, now_s=5.0), service.note_brittle("a", 2.0, now_s=6.0)
    (True, False)
    >>> service.is_brittle("a", 6.0), service.is_brittle("b", 6.0)
    (True, True)
    >>> service.note_sound("b", sent_at_s=6.5), service.is_brittle("b", 7.0)
    (False, False)
    >>> service.note_sound("a", sent_at_s=5.5), service.note_sound("a", sent_at_s=6.5)
    (False, True)
    >>> service.is_in_effect
    False
    """

    gateway: str
    _rejections_per_s: dict[str, float] = field(default_factory=dict)
    _said_at_s: dict[str, float] = field(default_factory=dict)
    _sound_at_s: dict[str, float] = field(default_factory=dict)
    _began_at_s: float = float("inf")
    _reduced: dict[str, ReducedBound] = field(default_factory=dict)
    # By replica: the mean number of gateways that use it, where that is more than its slots.
    _senders: dict[str, float] = field(default_factory=dict)

    @property
    def is_in_effect(self) -> bool:
        """Whether any replica is brittle."""
        return bool(self._said_at_s)

    def note_brittle(self, instance_id: str, rejections_per_s: float, now_s: float) -> bool:
        """Record that a replica says that it is brittle; return whether that is new.

        Args:
            instance_id: The incarnation.
            rejections_per_s: Requests a second that it can reject without a crash.
            now_s: Current monotonic time.
        """
        self._expire(now_s)
        if not self.is_in_effect:
            self._began_at_s = now_s
        is_new = instance_id not in self._said_at_s
        self._said_at_s[instance_id] = now_s
        self._rejections_per_s[instance_id] = rejections_per_s
        return is_new

    def note_sound(self, instance_id: str, sent_at_s: float) -> bool:
        """Record a response that does not say it; return whether the replica was brittle.

        Args:
            instance_id: The incarnation.
            sent_at_s: Time when its request was sent. A response to a request that was sent before
                the replica last said that it is brittle changes nothing.
        """
        if not self.is_in_effect:
            return False
        was_brittle = instance_id in self._said_at_s
        if was_brittle and sent_at_s <= self._said_at_s[instance_id]:
            return False
        self._sound_at_s[instance_id] = sent_at_s
        self._forget(instance_id)
        return was_brittle

    def _forget(self, instance_id: str) -> None:
        self._said_at_s.pop(instance_id, None)
        self._rejections_per_s.pop(instance_id, None)
        self._reduced.pop(instance_id, None)
        if not self.is_in_effect:
            self._sound_at_s.clear()
            self._reduced.clear()
            self._senders.clear()

    def _expire(self, now_s: float) -> None:
        for instance_id, said_at_s in list(self._said_at_s.items()):
            if now_s - said_at_s > LIFETIME_S:
                self._forget(instance_id)

    def is_brittle(self, instance_id: str, now_s: float) -> bool:
        """Whether a replica counts as brittle."""
        self._expire(now_s)
        return self._counts_as_brittle(instance_id)

    def _counts_as_brittle(self, instance_id: str) -> bool:
        if not self.is_in_effect:
            return False
        if instance_id in self._said_at_s:
            return True
        return self._sound_at_s.get(instance_id, float("-inf")) < self._began_at_s

    def note_rejection(
        self, record: ReplicaRecord, gateways: int, now_s: float, spread: float
    ) -> None:
        """Reduce what this gateway may have in flight at a brittle replica that rejected a request.

        Args:
            record: The replica; its requests in flight include the one that it rejected.
            gateways: Number of gateways.
            now_s: Current monotonic time.
            spread: A random number from 0 to 1 that keeps gateways from probing together.
        """
        instance_id = record.instance.instance_id
        if not self.is_brittle(instance_id, now_s):
            return
        rejections_per_s = self._rejections_per_s.get(instance_id, 0.0)
        probes_per_s = PROBE_SHARE * max(MIN_REJECTIONS_PER_S, rejections_per_s)
        senders = max(record.instance.slots, self._senders.get(instance_id, 0.0))
        interval_s = max(MIN_PROBE_INTERVAL_S, min(gateways, senders) / probes_per_s) * (
            1.0 + spread
        )
        self._reduced[instance_id] = ReducedBound(max(0, record.in_flight - 1), now_s, interval_s)

    def with_room(
        self, records: list[ReplicaRecord], gateways: int, now_s: float
    ) -> list[ReplicaRecord]:
        """Return the replicas that this gateway may send one more request.

        Args:
            records: All replicas that could run it, also those that it was sent to already: the
                shares follow from them.
            gateways: Number of gateways.
            now_s: Current monotonic time.
        """
        self._expire(now_s)
        brittle = [item for item in records if self._counts_as_brittle(item.instance.instance_id)]
        shares = self._shares(brittle, max(1, gateways), is_only=len(brittle) == len(records))
        return [
            record
            for record in records
            if (share := shares.get(record.instance.instance_id)) is None
            or record.in_flight < self._reduced_to(record, share, now_s)
        ]

    def _reduced_to(self, record: ReplicaRecord, share: int, now_s: float) -> int:
        """Return the share, or less after a rejection."""
        reduced = self._reduced.get(record.instance.instance_id)
        return share if reduced is None else min(share, reduced.current(now_s))

    def _shares(self, records: list[ReplicaRecord], gateways: int, is_only: bool) -> dict[str, int]:
        """Divide the slots of replicas among the gateways; return this one's, by instance.

        Where the slots of a replica can't be divided evenly, each gateway uses one more slot of
        some replicas, in an order of its own.

        Args:
            records: The replicas.
            gateways: Number of gateways.
            is_only: Whether no others can run the request. Then each gateway uses one of them at
                least, or it could serve nothing.
        """
        shares = {item.instance.instance_id: item.instance.slots // gateways for item in records}
        rest = sum(item.instance.slots % gateways for item in records) / gateways
        more = int(rest) + (self._position("") < rest % 1.0)
        if is_only and not any(shares.values()) and rest < 1.0:
            more = 1
            self._senders.update(dict.fromkeys(shares, gateways / len(shares)))
        for instance_id in sorted(shares, key=self._position)[:more]:
            shares[instance_id] += 1
        return shares

    def _position(self, instance_id: str) -> float:
        """Return a number from 0 to 1 that is fixed for this gateway and a replica."""
        return zlib.crc32(f"{self.gateway}/{instance_id}".encode()) / 2**32
