"""What the control group says about replicas that several gateways do not reach. Pure.

What this gateway hears from a replica itself goes before the group's word, and a word that is not
renewed ends.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from crowsill.control.replica_reach import REACHED_LIFETIME_S, SUSPICION_LIFETIME_S
from crowsill.model.replica_reach import ReachedReplica, SuspectedReplica

# Ages are as uncertain as a reply takes. A replica that was reached later than this after the last
# known time was reached anew.
MIN_REACHED_INTERVAL_S = 1.0
# While the group suspects a replica, the gateways that exclude it check it so often in a second,
# all together.
SHARED_CHECKS_PER_S = 4.0


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspicion of the group.

    Attributes:
        gateways: Number of gateways that do not reach the replica.
        since_s: Monotonic time when it began, at the latest.
        ends_at_s: Monotonic time when it ends without a further word.
    """

    gateways: int
    since_s: float
    ends_at_s: float


@dataclass(frozen=True, slots=True)
class SuspicionChange:
    """What a word of the group has changed.

    Attributes:
        begun: Replicas that are now suspected.
        ended: Replicas that no longer are.
        reached: Replicas that some gateway has now reached again.
    """

    begun: list[str] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    reached: list[str] = field(default_factory=list)


class GroupSuspicions:
    """The replicas that the group suspects, as one gateway knows them.

    All times are on the caller's monotonic clock, in seconds.

    >>> suspicions = GroupSuspicions()
    >>> suspicions.adopt([SuspectedReplica("a", 40, 0.5, 2.0)], [], sent_at_s=10.0, now_s=10.1)
    SuspicionChange(begun=['a'], ended=[], reached=[])
    >>> [suspicions.is_suspected("a", heard_at_s, 11.0) for heard_at_s in (9.0, 10.0)]
    [True, False]
    >>> suspicions.is_suspected("a", 9.0, 12.0), suspicions.is_suspected("b", 9.0, 11.0)
    (False, False)
    >>> [suspicions.check_probability(name, 9.0, 1.0, 11.0) for name in "ab"]
    [0.1, 1.0]
    """

    def __init__(self) -> None:
        self._suspicions: dict[str, Suspicion] = {}
        self._reached_at_s: dict[str, float] = {}

    def adopt(
        self,
        suspected: list[SuspectedReplica],
        reached: list[ReachedReplica],
        sent_at_s: float,
        now_s: float,
    ) -> SuspicionChange:
        """Replace what is known by a word of the group, and return what has changed.

        Args:
            suspected: The suspected replicas.
            reached: Replicas that were reached lately.
            sent_at_s: Monotonic time when the word was asked for; ends are counted from it.
            now_s: Current monotonic time; begins are counted from it.
        """
        before = self._suspicions.keys()
        self._suspicions = {
            item.instance_id: Suspicion(
                max(1, item.gateways),
                now_s - max(0.0, item.since_ago_s),
                sent_at_s + min(SUSPICION_LIFETIME_S, max(0.0, item.remaining_s)),
            )
            for item in suspected
        }
        return SuspicionChange(
            sorted(self._suspicions.keys() - before),
            sorted(before - self._suspicions.keys()),
            self._newly_reached(reached, now_s),
        )

    def _newly_reached(self, reached: list[ReachedReplica], now_s: float) -> list[str]:
        """Record replicas that were reached; return those not known as reached lately."""
        known = self._reached_at_s
        found = {item.instance_id: now_s - max(0.0, item.ago_s) for item in reached}
        new = {
            name: at_s
            for name, at_s in found.items()
            if at_s >= known.get(name, float("-inf")) + MIN_REACHED_INTERVAL_S
        }
        recent_s = now_s - REACHED_LIFETIME_S
        self._reached_at_s = {name: at_s for name, at_s in (known | new).items() if at_s > recent_s}
        return sorted(new.keys() - self._suspicions.keys())

    def expire(self, now_s: float) -> list[str]:
        """Forget the suspicions that have ended without a further word, and return them."""
        ended = [name for name, item in self._suspicions.items() if item.ends_at_s <= now_s]
        for name in ended:
            del self._suspicions[name]
        return ended

    def count(self) -> int:
        """Return the number of suspected replicas, whatever this gateway has heard."""
        return len(self._suspicions)

    def is_suspected(self, instance_id: str, heard_at_s: float, now_s: float) -> bool:
        """Whether the group suspects a replica that this gateway has not heard from since.

        Args:
            instance_id: The replica.
            heard_at_s: Monotonic time when anything was last received from it.
            now_s: Current monotonic time.
        """
        found = self._suspicions.get(instance_id)
        return found is not None and now_s < found.ends_at_s and heard_at_s <= found.since_s

    def disproved(self, heard_at_s: Callable[[str], float], now_s: float) -> dict[str, float]:
        """Return the suspected replicas heard from since the begin, and how long ago."""
        return {
            name: now_s - heard_at_s(name)
            for name, item in self._suspicions.items()
            if now_s < item.ends_at_s and heard_at_s(name) > item.since_s
        }

    def check_probability(
        self, instance_id: str, heard_at_s: float, interval_s: float, now_s: float
    ) -> float:
        """Return the probability of a check of an excluded replica, where all share the checks.

        Args:
            instance_id: The replica.
            heard_at_s: Monotonic time when anything was last received from it.
            interval_s: Mean time between two occasions for a check.
            now_s: Current monotonic time.
        """
        if not self.is_suspected(instance_id, heard_at_s, now_s):
            return 1.0
        gateways = self._suspicions[instance_id].gateways
        return min(1.0, SHARED_CHECKS_PER_S * interval_s / gateways)
