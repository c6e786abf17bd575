"""Uses what gateways know together of failed replicas: which ones to check, and to choose last."""

from collections import Counter
from collections.abc import Callable
from random import Random

from crowsill.events import Event
from crowsill.gateway.group_suspicions import GroupSuspicions
from crowsill.gateway.link_sample import FIRST_SAMPLE, FULL_SAMPLE, LinkSamples, SampleStep
from crowsill.gateway.link_state import LinkState
from crowsill.gateway.pool import ConnectionPool
from crowsill.gateway.recent_failures import RECENT_S, RecentFailures
from crowsill.gateway.replica_registry import ReplicaRecord, ReplicaRegistry
from crowsill.logs import log_event
from crowsill.metrics import SUSPECTED_REPLICAS
from crowsill.model.replica_reach import ReachedReplica, SuspectedReplica
from crowsill.settings import LoadControlSettings
from crowsill.transport.replica_messages import SuspectInstances

# After a sample has shown that this gateway may have lost its links, its failures do not count for
# the group for this time: all replicas are checked meanwhile.
DOUBT_S = 1.5
# While a replica is suspected, so many gateways check it with each word, all together.
CHECKS_PER_WORD = 1.0
# Replicas that a log line names.
MAX_LOGGED = 16

FindUnproven = Callable[[str, float, float], list[ReplicaRecord]]


class FailureSharing:
    """What one gateway tells the control group about replicas, and does by its word."""

    def __init__(
        self,
        registry: ReplicaRegistry,
        pool: ConnectionPool,
        links: LinkState,
        notify: Callable[[SuspectInstances], bool],
        *,
        settings: LoadControlSettings,
        identity: str,
        random: Random,
    ) -> None:
        """Create it.

        Args:
            registry: The known replicas.
            pool: Connections to them.
            links: Services that this gateway does not reach.
            notify: Sends a notice to the control group; returns whether it could be sent.
            settings: Decisions under load that are switched on.
            identity: Identity of this gateway.
            random: Source of the replicas that are checked.
        """
        self._registry = registry
        self._pool = pool
        self._links = links
        self._notify = notify
        self._settings = settings
        self._identity = identity
        self._random = random
        self._suspicions = GroupSuspicions()
        self._samples = LinkSamples()
        # By service: the monotonic time until which this gateway may have lost its links.
        self._doubt_ends_at_s: dict[str, float] = {}
        # Services of which the group suspects half or more: then rather gateways lost their links.
        self._doubted_services: set[str] = set()

    @property
    def is_on(self) -> bool:
        """Whether gateways share their failures to reach replicas."""
        return self._settings.shared_failures

    # Reports.

    def report_failed(self, record: ReplicaRecord, now_s: float) -> None:
        """Report to the group that this gateway failed to reach a replica."""
        service = record.instance.service
        is_doubted = now_s < self._doubt_ends_at_s.get(service, now_s)
        takes_part = self.is_on and not is_doubted and not self._links.is_weak(service)
        gateway = self._identity if takes_part else ""
        self._notify(SuspectInstances([record.instance.instance_id], gateway))

    def report_reached(self, ago_s: dict[str, float]) -> None:
        """Report to the group that this gateway reached replicas.

        Args:
            ago_s: Seconds since then, by replica.
        """
        told = {name: item for name, item in ago_s.items() if self._is_shared(name)}
        if told:
            self._notify(SuspectInstances([], self._identity, list(told), list(told.values())))

    def _is_shared(self, instance_id: str) -> bool:
        record = self._registry.find(instance_id)
        return record is not None and self.is_on

    # The group's word.

    def adopt(
        self,
        suspected: list[SuspectedReplica],
        reached: list[ReachedReplica],
        sent_at_s: float,
        now_s: float,
    ) -> list[str]:
        """Apply the group's word; return the replicas that were reached again and may be checked.

        The group is told of suspected replicas that this gateway has heard from.

        Args:
            suspected: Replicas that several gateways fail to reach.
            reached: Replicas that some gateway has reached again.
            sent_at_s: Monotonic time when the word was asked for.
            now_s: Current monotonic time.
        """
        change = self._suspicions.adopt(
            [item for item in suspected if self._is_shared(item.instance_id)],
            [item for item in reached if self._is_shared(item.instance_id)],
            sent_at_s,
            now_s,
        )
        self._doubt_many(suspected)
        self._log(Event.SUSPICIONS_ADOPTED, change.begun)
        self._log(Event.SUSPICIONS_DROPPED, change.ended)
        self.report_reached(self._suspicions.disproved(self._pool.received_at_s, now_s))
        return [name for name in change.reached if not self._is_weak(name)]

    def _doubt_many(self, suspected: list[SuspectedReplica]) -> None:
        """Determine the services of which half or more is suspected."""
        records = [self._registry.find(item.instance_id) for item in suspected]
        counts = Counter(item.instance.service for item in records if item is not None)
        self._doubted_services = {
            service
            for service, count in counts.items()
            if 2 * count >= len(self._registry.of_service(service))
        }

    def expire(self, now_s: float) -> None:
        """Drop what the group has not renewed."""
        self._log(Event.SUSPICIONS_DROPPED, self._suspicions.expire(now_s))

    def _log(self, event: Event, instance_ids: list[str]) -> None:
        SUSPECTED_REPLICAS.set(self._suspicions.count())
        if instance_ids:
            names = ",".join(instance_ids[:MAX_LOGGED])
            log_event(event, replicas=names, count=len(instance_ids))

    def _is_weak(self, instance_id: str) -> bool:
        record = self._registry.find(instance_id)
        return record is None or self._links.is_weak(record.instance.service)

    def is_suspected(self, record: ReplicaRecord, now_s: float) -> bool:
        """Whether the group suspects a replica that this gateway has not heard from since."""
        if record.instance.service in self._doubted_services:
            return False
        instance_id = record.instance.instance_id
        heard_at_s = self._pool.received_at_s(instance_id)
        return self._suspicions.is_suspected(instance_id, heard_at_s, now_s)

    def avoidance(self, service: str, now_s: float) -> Callable[[ReplicaRecord], bool] | None:
        """Return what tells whether to choose a replica of a service last; None if none is."""
        if not self._suspicions.count() or not self.is_on:
            return None
        return lambda record: self.is_suspected(record, now_s)

    # Checks.

    def skips_check(self, record: ReplicaRecord, interval_s: float, now_s: float) -> bool:
        """Whether to leave this check of an excluded replica to other gateways.

        Args:
            record: The replica.
            interval_s: Mean time between two checks of it by this gateway.
            now_s: Current monotonic time.
        """
        instance_id = record.instance.instance_id
        if not self.is_suspected(record, now_s) or self._is_weak(instance_id):
            return False
        heard_at_s = self._pool.received_at_s(instance_id)
        probability = self._suspicions.check_probability(instance_id, heard_at_s, interval_s, now_s)
        return self._random.random() >= probability

    def to_verify(self, gateways: int, now_s: float) -> list[ReplicaRecord]:
        """Return suspected replicas to check once now, as one of all gateways.

        Who avoids a replica never hears from it, and could not say that only others lost links.
        """
        if not self._suspicions.count():
            return []
        suspects = [item for item in self._registry.listed() if self.is_suspected(item, now_s)]
        probability = CHECKS_PER_WORD / max(1, gateways)
        return [item for item in suspects if self._random.random() < probability]

    def others_to_check(
        self,
        failed: ReplicaRecord,
        failures: RecentFailures,
        find_unproven: FindUnproven,
        now_s: float,
    ) -> list[ReplicaRecord]:
        """Return the replicas to check after one of the same service failed, or may have failed.

        Args:
            failed: That one.
            failures: The last failures.
            find_unproven: Returns the replicas of a service that may fail as well, by what was
                received since a monotonic time; the last argument is the current time.
            now_s: Current monotonic time.
        """
        service, instance_id = failed.instance.service, failed.instance.instance_id
        failures.is_second(instance_id, service, now_s)
        step = self._samples.note_failure(service, instance_id, now_s)
        if step is SampleStep.NOTHING:
            return []
        if step is SampleStep.ALL:
            since_s = failures.first_failed_at_s(service)
            self._doubt_ends_at_s[service] = now_s + DOUBT_S
            is_due = failures.begin_check_of(service, now_s)
            return find_unproven(service, since_s, now_s) if is_due else []
        unproven = find_unproven(service, now_s - RECENT_S, now_s)
        suspects = [item for item in unproven if self.is_suspected(item, now_s)]
        sample = self._draw(service, step, unproven, suspects)
        if step is not SampleStep.FIRST:
            return sample
        return [*sample, *suspects, *self._one_of_each_other(service, find_unproven, now_s)]

    def _one_of_each_other(
        self, service: str, find_unproven: FindUnproven, now_s: float
    ) -> list[ReplicaRecord]:
        """Return one replica of each other service, if any may fail."""
        services = {record.instance.service for record in self._registry.listed()} - {service}
        unproven = [find_unproven(name, now_s - RECENT_S, now_s) for name in sorted(services)]
        return [self._random.choice(records) for records in unproven if records]

    def _draw(
        self,
        service: str,
        step: SampleStep,
        unproven: list[ReplicaRecord],
        suspects: list[ReplicaRecord],
    ) -> list[ReplicaRecord]:
        """Return a sample of replicas, or the rest of one; without suspects if there are others."""
        count = FIRST_SAMPLE if step is SampleStep.FIRST else FULL_SAMPLE - FIRST_SAMPLE
        checked = self._samples.checked(service)
        new = [item for item in unproven if item.instance.instance_id not in checked]
        others = [item for item in new if item not in suspects] or new
        sample = self._random.sample(others, min(count, len(others)))
        self._samples.note_checked(service, [item.instance.instance_id for item in sample])
        return sample
