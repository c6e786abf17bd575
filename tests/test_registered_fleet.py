"""Directory, routes, budget and self-repair: the pure modules."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from crowsill.consensus.membership import Member, Membership
from crowsill.consensus.replacement import GroupHealth, SelfRepair, next_membership
from crowsill.gateway.replica_registry import ReplicaRegistry
from crowsill.model.instances import Instance, InstanceState, LoadedModel, ReplicaHeartbeat
from crowsill.model.tenants import Tenant
from crowsill.placement.load_window import LoadWindow
from crowsill.routing.earned_retries import GRANTED_PART, EarnedRetries, RetryBudgetLimits
from crowsill.state.commands import OfferModels, PublishRoutes, RecordHeartbeat, RemoveInstance
from crowsill.state.directory import Directory
from crowsill.state.machine import StateMachine
from crowsill.state.route_store import RouteDocument
from crowsill.tenancy.grant_ledger import GrantLedger, QuotaBounds

REPAIR = SelfRepair(target_voters=5, replace_voter_after_s=2.0)


def heartbeat(instance_id="i-1", sequence=1, address="127.0.0.1:1", state="ready", models=()):
    loaded = [LoadedModel(name) for name in models]
    found = Instance(instance_id, "s", address, "z", 4, InstanceState(state), loaded)
    return ReplicaHeartbeat(found, sequence)


# The directory.


def test_late_heartbeat_changes_nothing():
    directory = Directory()
    directory.record(heartbeat(sequence=7, state="draining"))
    assert directory.record(heartbeat(sequence=5)) is None
    assert directory.record(heartbeat(sequence=9)) is None, "draining is permanent"
    assert directory.find("i-1").state is InstanceState.DRAINING


def test_heartbeat_after_removal_does_not_restore_the_instance():
    directory = Directory()
    directory.record(heartbeat())
    directory.remove("i-1")
    assert directory.record(heartbeat(sequence=99)) is None
    assert directory.instances == []


def test_reused_address_removes_the_former_instance():
    directory = Directory()
    directory.record(heartbeat("i-1"))
    change = directory.record(heartbeat("i-2"))
    assert change.removed == ["i-1"] and [item.instance_id for item in change.changed] == ["i-2"]


def test_withheld_model_stays_withheld_until_it_was_unloaded_and_loaded_again():
    directory = Directory()
    directory.record(heartbeat(sequence=1, models=["a", "b"]))
    directory.offer("i-1", [LoadedModel("b")], [])
    # A heartbeat created before the unload still reports both models.
    directory.record(ReplicaHeartbeat(heartbeat(sequence=2, models=["a", "b"]).instance, 2))
    assert [loaded.name for loaded in directory.find("i-1").models] == ["b"]
    directory.record(heartbeat(sequence=3, models=["b"]))
    directory.record(heartbeat(sequence=4, models=["b", "a"]))
    assert {loaded.name for loaded in directory.find("i-1").models} == {"a", "b"}


def test_registry_adopts_changes_only_in_order():
    registry, directory = ReplicaRegistry(), Directory()
    first = directory.record(heartbeat("i-1"))
    second = directory.record(heartbeat("i-1", 2, state="draining"))
    assert registry.adopt(second, False, 0.0) == ["i-1"]
    assert registry.adopt(first, False, 0.0) == []
    assert not registry.find("i-1").instance.accepts_work


commands = st.lists(
    st.one_of(
        st.builds(
            lambda number, sequence, state, models: RecordHeartbeat(
                heartbeat(f"i-{number}", sequence, f"127.0.0.1:{number % 3}", state, models)
            ),
            st.integers(0, 5),
            st.integers(0, 9),
            st.sampled_from(["ready", "draining"]),
            st.lists(st.sampled_from("abc"), unique=True),
        ),
        st.builds(lambda number: RemoveInstance(f"i-{number}"), st.integers(0, 5)),
        st.builds(
            lambda number, models: OfferModels(
                f"i-{number}", [LoadedModel(item) for item in models]
            ),
            st.integers(0, 5),
            st.lists(st.sampled_from("abc"), unique=True),
        ),
        st.builds(
            lambda version: PublishRoutes(RouteDocument(version, b"%d" % version)),
            st.integers(1, 9),
        ),
    ),
    max_size=40,
)


@given(commands)
def test_members_agree_and_registries_follow(history):
    machine, registry = StateMachine(), ReplicaRegistry()
    gone, drained, newest = set(), set(), 0
    for command in history:
        before = machine.directory.version
        machine.apply(command)
        if isinstance(command, RemoveInstance):
            gone.add(command.instance_id)
        if isinstance(command, PublishRoutes):
            newest = max(newest, command.document.version)
        if machine.directory.version != before:
            registry.adopt(machine.directory.last_change, False, 0.0)
        present = {item.instance_id for item in machine.directory.instances}
        assert not present & gone
        assert machine.routes.current.version == newest
        for item in machine.directory.instances:
            if item.state is InstanceState.DRAINING:
                drained.add(item.instance_id)
            assert item.state is InstanceState.DRAINING or item.instance_id not in drained
            assert registry.find(item.instance_id).instance == item
        addresses = [item.address for item in machine.directory.instances]
        assert len(set(addresses)) == len(addresses)
    restored = StateMachine()
    restored.restore(machine.snapshot())
    assert restored.digest() == machine.digest()


# The budget and the window.


@given(st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=200), st.integers(1, 9))
def test_all_shares_together_keep_the_budget_in_every_window(steps, gateways):
    limits = RetryBudgetLimits(ratio=0.2, window_s=10.0, allowance=30.0)
    shares = [EarnedRetries(limits, -10.0) for _ in range(gateways)]
    ledger = GrantLedger(QuotaBounds(10.0), {}, 0.0)
    account = Tenant("till", rate_per_s=GRANTED_PART * 30.0 / 10.0)

    def spend(share):
        charge = share.charge(now_s)
        if charge is not None:
            charge.note_sent(now_s)
            return True
        decision = ledger.grant(account, 1.0, now_s)
        while decision is None:
            ledger.note_recorded(ledger.due(now_s))
            decision = ledger.grant(account, 1.0, now_s)
        return decision.is_granted

    now_s, random = 0.0, Random(1)
    first: list[float] = []
    repeats: list[float] = []
    for pause_s, repeat in steps:
        now_s += pause_s
        share = random.choice(shares)
        if not repeat:
            share.earn(now_s)
            first.append(now_s)
        elif spend(share):
            repeats.append(now_s)
        recent = sum(1 for at in repeats if at > now_s - 10.0)
        assert recent <= 0.2 * sum(1 for at in first if at > now_s - 10.0) + 30.0


def test_loads_of_any_window_stay_below_the_stores_rate():
    window = LoadWindow(5.0, 1.4, 3)
    started = []
    for step in range(400):
        if window.loads_left(step * 0.1) > 0:
            window.note_load(step * 0.1)
            started.append(step * 0.1)
    for begin_s in started:
        assert sum(1 for at in started if begin_s <= at < begin_s + 5.0) <= 1.4 * 5.0 * 1.1 + 3


# Self-repair of a group.


def member(name, voter=True, replaces=""):
    return Member(f"{name}.1", name, f"10.0.0.{ord(name)}", 1, voter, replaces)


def health(members, silent=(), behind=(), committed=True):
    return GroupHealth(
        {item.member_id: 3 if item.name in behind else 0 for item in members},
        {item.member_id: 9.0 if item.member_id[0] in silent else 0.1 for item in members},
        committed,
    )


def step(members, **more):
    return next_membership(Membership(members), health(members, **more), 1.0, REPAIR)


def test_a_group_grows_to_its_size_and_no_further():
    members = [member(name) for name in "abcd"] + [member("e", voter=False)]
    assert len(step(members).voters) == 5
    members = [member(name) for name in "abcde"] + [member("f", voter=False)]
    assert step(members) is None


def test_lost_voter_is_replaced_only_by_a_member_that_caught_up():
    members = [member(name) for name in "abcde"]
    assert step(members, silent="b") is None
    members.append(member("f", voter=False))
    assert step(members, silent="b", behind="f") is None
    assert "b.1" not in step(members, silent="b").voters
    assert step(members, silent="b", committed=False) is None


def test_machine_with_an_empty_disk_replaces_its_former_member():
    members = [member(name) for name in "abcde"]
    members.append(Member("x.2", "b", "10.0.0.98", 1, False, "b.1"))
    without = step(members, silent="b")
    assert "b.1" not in without.ids and len(without.voters) == 4
    full = next_membership(without, health(without.members), 1.0, REPAIR)
    assert "x.2" in full.voters and len(full.voters) == 5


@given(st.data())
def test_repair_changes_one_voter_at_a_time_and_keeps_a_live_majority(data):
    names = "abcdefgh"[: data.draw(st.integers(3, 8))]
    voters = data.draw(st.integers(3, len(names)))
    members = [member(name, index < voters) for index, name in enumerate(names)]
    silent = set(data.draw(st.lists(st.sampled_from(names), max_size=2)))
    before = Membership(members)
    after = step(members, silent=silent)
    if after is None:
        return
    assert before.differs_by_one_voter(after)
    alive = [item for item in before.voters if item[0] not in silent]
    if len(alive) >= before.quorum:
        alive_after = [item for item in after.voters if item[0] not in silent]
        assert len(alive_after) >= after.quorum
