"""Which parts of prompts are quarantined for crashes, and which are not.

Sound prompts share the first part, the caller and all other parts with those that crash replicas,
so all of these are at the crashes, too. Racks, restarts and crashes of other causes must not
quarantine any of them.
"""

from random import Random

import pytest

from crowsill.gateway.crash_guard import CrashGuard
from crowsill.model.prompt_parts import InterruptedPrompt, PartsState
from crowsill.model.suspects import SuspectChange, SuspectRequest
from crowsill.state.commands import ClearSuspects, NoteSoundParts, RecordCrash, ReviewParts
from crowsill.state.machine import StateMachine
from crowsill.state.part_crashes import MAX_CRASHES, MAX_SUSPECT_PARTS, PartCrashes

SYSTEM, BAD, OTHER_BAD = b"system", b"bad", b"other-bad"
START_S = 1000.0


class Site:
    """Replicas whose crashes and responses are recorded, at times given in seconds."""

    def __init__(self, seed=1):
        self.machine = StateMachine()
        self.random = Random(seed)
        self.now_s = START_S
        self.crashes = 0
        self.requests = 0

    @property
    def parts(self):
        return self.machine.crashes.parts

    def prompt(self, *parts, ran_s=0.1, wrote_s=-1.0):
        self.requests += 1
        return InterruptedPrompt(f"r{self.requests}", list(parts), ran_s, wrote_s)

    def crash(self, *prompts, after_s=0.5, instance_id=None):
        """Report a crash of the next replica, some time after the last event."""
        self.now_s += after_s
        if instance_id is None:
            self.crashes += 1
            instance_id = f"i{self.crashes}"
        self.machine.apply(RecordCrash(instance_id, [], 0.05, self.now_s, list(prompts)))
        return instance_id

    def respond(self, *parts, after_s=0.1, ago_s=0.0):
        self.now_s += after_s
        self.machine.apply(NoteSoundParts(list(parts), [ago_s] * len(parts), self.now_s))

    def quarantined(self, after_s=1.0):
        self.now_s += after_s
        self.machine.apply(ReviewParts(3600.0, self.now_s))
        return [item.parts for item in self.parts.quarantined]

    def subject(self):
        return b"subject-%d" % self.random.randrange(30)

    def copy(self):
        """Return the machine as a member that was sent a snapshot has it."""
        copied = StateMachine()
        copied.restore(self.machine.snapshot())
        return copied


def test_a_part_is_quarantined_after_five_crashes():
    site = Site()
    for number in range(5):
        assert site.quarantined(after_s=0.1) == []
        site.crash(site.prompt(SYSTEM, BAD, site.subject()), site.prompt(SYSTEM, site.subject()))
        site.respond(SYSTEM)
        assert number < 4 or site.quarantined() == [[BAD]]


def test_a_part_at_any_place_is_found():
    site = Site()
    for number in range(5):
        parts = [SYSTEM, site.subject()]
        parts.insert(number % 3, BAD)
        site.crash(site.prompt(*parts), site.prompt(SYSTEM, site.subject()))
        site.respond(SYSTEM)
    assert site.quarantined() == [[BAD]]


def test_several_requests_on_one_replica_are_one_crash():
    site = Site()
    for _ in range(4):
        site.crash(*(site.prompt(SYSTEM, BAD) for _ in range(6)))
        site.respond(SYSTEM)
    assert site.quarantined() == []


def test_reports_of_one_crash_by_several_gateways_and_repeated_reports_count_once():
    site = Site()
    for _ in range(4):
        prompt = site.prompt(SYSTEM, BAD)
        instance_id = site.crash(prompt)
        site.crash(prompt, instance_id=instance_id)
        site.crash(site.prompt(SYSTEM, site.subject()), instance_id=instance_id, after_s=0.9)
        site.respond(SYSTEM)
    assert site.quarantined() == []


def test_replicas_of_a_rack_that_crash_together_count_once():
    site = Site()
    for _ in range(3):
        for number in range(8):
            after_s = 0.01 if number else 1.0
            site.crash(site.prompt(SYSTEM, b"rare", ran_s=2.0), after_s=after_s)
    assert site.quarantined() == []


@pytest.mark.parametrize("seed", range(20))
def test_crashes_of_other_causes_quarantine_nothing(seed):
    # A fifth of all requests is interrupted by crashes, twice as many as under a crashing part.
    site = Site(seed)
    for _ in range(40):
        running = [site.prompt(SYSTEM, site.subject()) for _ in range(site.random.randint(1, 5))]
        site.crash(*running, after_s=0.5)
        for _ in range(12):
            site.respond(SYSTEM, site.subject(), after_s=0.02)
        assert site.quarantined(after_s=0.0) == []


@pytest.mark.parametrize("seed", range(20))
def test_two_crashing_parts_at_one_time_are_both_found_and_nothing_else(seed):
    site = Site(seed)
    for number in range(10):
        bad = (BAD, OTHER_BAD)[number % 2]
        sound = [site.prompt(SYSTEM, site.subject()) for _ in range(4)]
        site.crash(site.prompt(SYSTEM, bad, site.subject()), *sound)
        for _ in range(4):
            site.respond(SYSTEM, site.subject(), after_s=0.02)
    assert sorted(site.quarantined()) == [[BAD], [OTHER_BAD]]


def test_two_crashing_parts_are_found_where_nothing_gets_a_response():
    site = Site()
    for number in range(10):
        bad = (BAD, OTHER_BAD)[number % 2]
        sound = [site.prompt(SYSTEM, site.subject()) for _ in range(4)]
        site.crash(site.prompt(SYSTEM, bad), *sound)
        assert [SYSTEM] not in site.quarantined(after_s=0.6)
    assert sorted(site.quarantined()) == [[BAD], [OTHER_BAD]]


def test_parts_that_come_only_together_are_quarantined_together():
    # Few requests: only the crashing one ran at each crash, and nothing got a response.
    site = Site()
    for _ in range(5):
        site.crash(site.prompt(SYSTEM, BAD))
    assert site.quarantined() == [[BAD, SYSTEM]]
    guard = CrashGuard()
    guard.parts.adopt(site.parts.state(), 0.0)
    assert guard.parts.find_quarantined([SYSTEM, b"subject"]) == []
    # A response to one of them leaves the other.
    site.respond(SYSTEM, after_s=0.5)
    assert site.quarantined(after_s=0.0) == [[BAD]]


def test_a_part_that_crashes_a_replica_without_the_others_is_quarantined_alone():
    site = Site()
    for _ in range(5):
        site.crash(site.prompt(SYSTEM, BAD))
    assert site.quarantined() == [[BAD, SYSTEM]]
    site.crash(site.prompt(b"another-system", BAD))
    assert site.quarantined(after_s=0.1) == [[BAD, SYSTEM]]
    assert site.quarantined() == [[BAD]]


def test_a_long_response_proves_its_parts_sound_although_a_crash_interrupts_it():
    # Streams of half a minute never complete while a replica crashes every few seconds.
    site = Site()
    for _ in range(8):
        streams = [site.prompt(SYSTEM, b"long", ran_s=3.0, wrote_s=2.5) for _ in range(3)]
        site.crash(site.prompt(b"other", BAD), *streams, after_s=3.0)
    assert site.quarantined() == [[BAD, b"other"]]


def test_gateways_have_time_to_report_sound_parts_before_the_quarantine():
    # Five replicas crash within a second under the only part that anyone uses.
    site = Site()
    for _ in range(5):
        site.crash(site.prompt(SYSTEM), after_s=0.12)
    assert site.quarantined(after_s=0.0) == []
    site.respond(SYSTEM, after_s=0.1)
    assert site.quarantined() == []


def test_gateways_have_the_same_time_after_a_time_without_a_leader():
    # A soak quarantined a sound part 0.07 s after its fifth crash, before gateways could report.
    site = Site()
    for _ in range(4):
        site.crash(site.prompt(SYSTEM, b"sound"))
    site.crash(site.prompt(SYSTEM, b"sound"), after_s=2.0)
    assert site.quarantined(after_s=0.07) == []
    site.respond(SYSTEM, b"sound", after_s=0.1)
    assert site.quarantined() == []


def test_a_response_before_a_crash_says_nothing_about_it():
    # The part may have been sound until now.
    site = Site()
    site.respond(SYSTEM, BAD)
    for _ in range(5):
        site.crash(site.prompt(SYSTEM, BAD), site.prompt(SYSTEM))
        site.respond(SYSTEM)
        site.respond(BAD, ago_s=10.0)
    assert site.quarantined() == [[BAD]]


def test_a_jump_of_the_wall_clock_leaves_no_crash_in_the_future():
    site = Site()
    for _ in range(4):
        site.now_s += 2400.0
        site.crash(site.prompt(SYSTEM))
        site.crash(site.prompt(SYSTEM))
        site.now_s -= 2400.0
        site.respond(SYSTEM)
    assert site.quarantined() == []
    assert site.parts.state().suspects == []


def test_the_record_survives_a_snapshot_and_a_new_leader():
    site = Site()
    for _ in range(4):
        site.crash(site.prompt(SYSTEM, BAD), site.prompt(SYSTEM, site.subject()))
        site.respond(SYSTEM)
    site.machine = site.copy()
    site.crash(site.prompt(SYSTEM, BAD), site.prompt(SYSTEM, site.subject()))
    site.respond(SYSTEM)
    assert site.quarantined() == [[BAD]]
    assert site.copy().digest() == site.machine.digest()
    assert site.copy().crashes.parts.quarantined == site.parts.quarantined


def test_a_quarantine_ends_by_age_or_by_an_operator():
    site = Site()
    for _ in range(5):
        site.crash(site.prompt(SYSTEM, BAD), site.prompt(SYSTEM))
        site.respond(SYSTEM)
    assert site.quarantined() == [[BAD]]
    lifted = site.copy()
    assert lifted.apply(ClearSuspects([BAD], "lifted", site.now_s)).accepted
    assert lifted.crashes.parts.quarantined == []
    assert not lifted.apply(ClearSuspects([BAD], "lifted", site.now_s)).accepted
    assert site.parts.needs_review(site.now_s, 3600.0) is False
    assert site.parts.needs_review(site.now_s + 3601.0, 3600.0) is True
    assert site.quarantined(after_s=3601.0) == []


def test_later_crashes_under_a_quarantined_part_count_against_nothing_else():
    site = Site()
    for _ in range(5):
        site.crash(site.prompt(SYSTEM, BAD), site.prompt(SYSTEM))
        site.respond(SYSTEM)
    assert site.quarantined() == [[BAD]]
    for _ in range(6):
        # Reports of gateways that ran only sound prompts there come before and after.
        instance_id = site.crash(site.prompt(SYSTEM, b"subject"))
        site.crash(site.prompt(SYSTEM, BAD), instance_id=instance_id, after_s=0.0)
        site.crash(site.prompt(SYSTEM, b"subject"), instance_id=instance_id, after_s=0.0)
    assert site.quarantined() == [[BAD]]


def test_the_record_is_bounded():
    record = PartCrashes()
    for number in range(3 * MAX_CRASHES):
        parts = [b"%d" % part for part in range(40)]
        prompts = [
            InterruptedPrompt(f"r{number}-{index}", parts[index : index + 16], 0.1)
            for index in range(100)
        ]
        record.record(f"i{number}", prompts, float(number), float(number))
        record.note_sound([b"%d-%d" % (number, part) for part in range(100)], [0.0] * 100, 0.0)
    dumped = record.dump()
    assert len(dumped.crashes) == MAX_CRASHES
    assert len(dumped.sound_at_s) <= 4096
    assert len(record.state().suspects) <= MAX_SUSPECT_PARTS


def test_gateways_learn_of_parts_with_the_version_of_the_crash_record():
    site = Site()
    versions = [site.machine.crashes.version]
    for _ in range(5):
        site.crash(site.prompt(SYSTEM, BAD), site.prompt(SYSTEM))
        site.respond(SYSTEM)
    site.quarantined()
    changes = list(site.machine.crashes.changes)
    assert [change.version for change in changes] == list(range(1, len(changes) + 1))
    assert changes[-1].parts == PartsState([], [[BAD]])
    assert site.machine.crashes.full_change() == SuspectChange(
        changes[-1].version, [], PartsState([], [[BAD]])
    )
    assert versions == [0]


def _requests(site, *prompts, fingerprint=b"common"):
    return [
        SuspectRequest(fingerprint, item.request_id, "h/a", "s", item.ran_s) for item in prompts
    ]


def _crash_beside(site, number, ran_s):
    """Crash a replica under the part while a request of many callers had run for some time."""
    bad, common = site.prompt(SYSTEM, BAD, ran_s=0.01), site.prompt(SYSTEM, ran_s=ran_s)
    site.now_s += 0.5
    command = RecordCrash(f"i{number}", _requests(site, common), 0.05, site.now_s, [bad, common])
    site.machine.apply(command)
    site.respond(SYSTEM)


def _quarantined_requests(site):
    return [item for item in site.machine.crashes.suspects if item.is_quarantined]


def test_requests_of_many_callers_go_free_once_a_part_explains_their_crashes():
    # Requests of one body never get a response, and run at each crash that the part causes.
    site = Site()
    for number in range(5):
        _crash_beside(site, number, ran_s=0.3)
    assert site.quarantined() == [[BAD]]
    assert _quarantined_requests(site) == []
    for number in range(5, 9):
        _crash_beside(site, number, ran_s=0.3)
    assert _quarantined_requests(site) == []


def test_a_part_that_is_not_quarantined_excuses_no_crash():
    # A soak in which a request lost a crash to a sound part, and crashed five replicas.
    site = Site()
    for number in range(3):
        _crash_beside(site, number, ran_s=0.01)
    assert site.quarantined() == []
    assert len(_quarantined_requests(site)) == 1


def test_a_request_with_crashes_of_its_own_stays_quarantined():
    # A soak in which a request that crashes replicas ran beside the part once, and went free.
    site = Site()
    for number in range(2):
        own = site.prompt(SYSTEM, b"rare")
        site.now_s += 0.5
        command = RecordCrash(f"own-{number}", _requests(site, own), 0.05, site.now_s, [own])
        site.machine.apply(command)
    for number in range(5):
        _crash_beside(site, number, ran_s=0.01)
    assert site.quarantined() == [[BAD]]
    assert len(_quarantined_requests(site)) == 1


def test_a_request_that_crashes_replicas_beside_a_part_is_quarantined_for_its_own_crashes():
    site = Site()
    for number in range(5):
        bad, own = site.prompt(SYSTEM, BAD), site.prompt(SYSTEM, b"rare")
        site.crash(bad)
        site.now_s += 0.5
        command = RecordCrash(f"own-{number}", _requests(site, own), 0.05, site.now_s, [own])
        site.machine.apply(command)
        site.respond(SYSTEM)
        assert bool(_quarantined_requests(site)) == (number >= 2)


def test_requests_of_many_callers_go_free_once_a_part_and_a_request_explain_their_crashes():
    # A soak with two causes, neither of which was at all of their crashes.
    site = Site()
    for number in range(3):
        own, common = site.prompt(SYSTEM, b"rare"), site.prompt(SYSTEM)
        site.now_s += 0.5
        running = _requests(site, own, fingerprint=b"own")
        if number < 2:
            running += _requests(site, common)
        site.machine.apply(RecordCrash(f"own-{number}", running, 0.05, site.now_s, [own, common]))
        site.respond(SYSTEM)
    for number in range(5):
        _crash_beside(site, number, ran_s=0.01)
    assert site.quarantined() == [[BAD]]
    assert [item.request.fingerprint for item in _quarantined_requests(site)] == [b"own"]


def test_a_crash_that_a_part_explains_does_not_let_a_crashing_request_go_free():
    # Callers' common body ran at each crash of the request, and at those of a part as well.
    site = Site()
    for number in range(3):
        own, common = site.prompt(SYSTEM, b"rare"), site.prompt(SYSTEM)
        site.now_s += 0.5
        running = _requests(site, own, fingerprint=b"own") + _requests(site, common)
        site.machine.apply(RecordCrash(f"own-{number}", running, 0.05, site.now_s, [own, common]))
        site.respond(SYSTEM)
    for number in range(5):
        _crash_beside(site, number, ran_s=0.01)
    assert site.quarantined() == [[BAD]]
    assert b"own" in [item.request.fingerprint for item in _quarantined_requests(site)]
