"""Tells from a few replicas whether this gateway lost its own links, or some replicas. Pure.

Where a replica fails, a few others of its service are checked. If some of them fail, so are a few
more. If all of the first fail, or half or more of both together, all replicas are to be checked.
"""

from dataclasses import dataclass, field
from enum import StrEnum

FIRST_SAMPLE = 3
FULL_SAMPLE = 7
# While replicas of a service fail, a new sample of it is drawn at most so often.
MIN_SAMPLE_INTERVAL_S = 1.0


class SampleStep(StrEnum):
    """What a failure calls for.

    Attributes:
        NOTHING: Nothing: the sample under way tells.
        FIRST: Check a first sample, of `FIRST_SAMPLE` replicas.
        MORE: Check more replicas, `FULL_SAMPLE` altogether.
        ALL: Check all replicas: this gateway may have lost its links.
    """

    NOTHING = "nothing"
    FIRST = "first"
    MORE = "more"
    ALL = "all"


@dataclass(slots=True)
class _Sample:
    begun_at_s: float
    first: set[str] = field(default_factory=set)
    checked: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    is_extended: bool = False

    def shows_lost_links(self) -> bool:
        """Whether too many of it failed to be taken for failed replicas."""
        return self.first <= self.failed or (
            len(self.checked) > len(self.first) and 2 * len(self.failed) >= len(self.checked)
        )


class LinkSamples:
    """The last sample of each service.

    >>> samples = LinkSamples()
    >>> samples.note_failure("s", "a", 1.0), samples.note_checked("s", ["b", "c", "d"])
    (<SampleStep.FIRST: 'first'>, None)
    >>> samples.note_failure("s", "b", 1.1), samples.note_checked("s", ["e", "f", "g", "h"])
    (<SampleStep.MORE: 'more'>, None)
    >>> [samples.note_failure("s", name, 1.2).value for name in "cxefg"]
    ['nothing', 'nothing', 'nothing', 'all', 'all']
    """

    def __init__(self) -> None:
        self._samples: dict[str, _Sample] = {}

    def note_failure(self, service: str, instance_id: str, now_s: float) -> SampleStep:
        """Record that a replica failed, or may fail; return what to check now.

        Args:
            service: Its service.
            instance_id: The replica.
            now_s: Current monotonic time.
        """
        sample = self._samples.get(service)
        if sample is None or (
            instance_id not in sample.checked and now_s - sample.begun_at_s >= MIN_SAMPLE_INTERVAL_S
        ):
            self._samples[service] = _Sample(now_s)
            return SampleStep.FIRST
        if instance_id not in sample.checked or instance_id in sample.failed:
            return SampleStep.NOTHING
        sample.failed.add(instance_id)
        if sample.shows_lost_links():
            return SampleStep.ALL
        if sample.is_extended:
            return SampleStep.NOTHING
        sample.is_extended = True
        return SampleStep.MORE

    def checked(self, service: str) -> set[str]:
        """Return the replicas of the last sample of a service."""
        return self._samples[service].checked

    def note_checked(self, service: str, instance_ids: list[str]) -> None:
        """Add replicas that are now checked to the sample of a service."""
        sample = self._samples[service]
        if not sample.is_extended:
            sample.first.update(instance_ids)
        sample.checked.update(instance_ids)
