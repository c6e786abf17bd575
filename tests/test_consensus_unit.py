"""Single members of a consensus group, and small groups with a lossless network."""

from random import Random

from crowsill.consensus.log import RaftLog
from crowsill.consensus.membership import Member, Membership
from crowsill.consensus.messages import Envelope, VoteRequest
from crowsill.consensus.node import RaftNode
from crowsill.consensus.types import HardState, MemberSetup, RaftConfig, Role

MEMBERS = Membership([Member(name, name, "127.0.0.1", 1) for name in "abc"])


def restarted(now_s, member_id="a"):
    setup = MemberSetup(
        member_id=member_id,
        group="g",
        hard_state=HardState(3, None),
        log=RaftLog(),
        membership=MEMBERS,
        config=RaftConfig(election_timeout_s=1.0),
        random=Random(ord(member_id)),
        now_s=now_s,
    )
    return RaftNode(setup, lambda: None)


def granted(node, now_s, target="a"):
    request = VoteRequest(4, 9, 3, pre_vote=True, transfer=False)
    node.step(now_s, Envelope("g", "b", target, request))
    responses = [envelope.message for envelope in node.take_ready().messages]
    return [response.granted for response in responses]


def test_a_restarted_member_rejects_votes_until_a_lease_it_may_support_has_expired():
    node = restarted(now_s=100.0)
    assert granted(node, 100.9) == [False]
    assert granted(node, 101.1) == [True]


def test_messages_for_a_former_identity_are_ignored():
    node = restarted(now_s=100.0)
    assert granted(node, 105.0, target="a.former") == []


def exchange(nodes, now_s):
    """Deliver all messages until none are left; return the names of the leaders."""
    for _ in range(20):
        envelopes = []
        for node in nodes.values():
            ready = node.take_ready()
            envelopes += [*ready.messages, *ready.messages_after_sync]
        for envelope in envelopes:
            if envelope.target in nodes:
                nodes[envelope.target].step(now_s, envelope)
    return [name for name, node in nodes.items() if node.role is Role.LEADER]


def tick(nodes, since_s, until_s):
    """Advance the time in steps of 10 ms; return the first time with a leader, or None."""
    for step in range(int((until_s - since_s) * 100)):
        now_s = since_s + step / 100.0
        for node in nodes.values():
            node.tick(now_s)
        if exchange(nodes, now_s):
            return now_s
    return None


def test_a_group_whose_members_all_restarted_elects_without_waiting_for_a_lease():
    nodes = {name: restarted(100.0 + place / 50.0, name) for place, name in enumerate("abc")}
    elected_s = tick(nodes, 100.05, 102.0)
    assert elected_s is not None and elected_s < 100.5, "no lease of 1 s is left to wait for"


def test_a_restarted_majority_waits_for_the_lease_of_the_member_that_did_not_restart():
    nodes = {name: restarted(100.0, name) for name in "ab"}
    elected_s = tick(nodes, 100.05, 104.0)
    assert elected_s is not None and elected_s >= 101.0


def test_a_member_with_leader_contact_no_longer_counts_as_restarted():
    nodes = {name: restarted(100.0, name) for name in "abc"}
    elected_s = tick(nodes, 100.05, 102.0)
    (leader,) = exchange(nodes, elected_s)
    followers = {name: node for name, node in nodes.items() if name != leader}
    again_s = tick(followers, elected_s + 0.02, elected_s + 3.0)
    assert again_s is not None and again_s >= elected_s + 0.95


def test_a_commit_can_be_announced_at_once():
    """Guards against a leader that announces a commit only with its next heartbeat.

    Gateways that follow other members would then send requests to a draining replica, or retry a
    request that crashes replicas, for up to one heartbeat interval (0.1 s) longer.
    """
    nodes = {name: restarted(100.0, name) for name in "abc"}
    now_s = tick(nodes, 100.05, 102.0)
    (name,) = exchange(nodes, now_s)
    leader = nodes[name]
    # The next heartbeats announce the commit of the election to all members.
    for step in range(1, 30):
        leader.tick(now_s + step / 100.0)
        exchange(nodes, now_s + step / 100.0)
    now_s += 0.3
    index = leader.propose(now_s, b"x")
    ready = leader.take_ready()
    leader.mark_synced(index, leader.term)
    for envelope in [*ready.messages, *ready.messages_after_sync]:
        nodes[envelope.target].step(now_s, envelope)
    exchange(nodes, now_s)
    followers = [node for node in nodes.values() if node is not leader]
    assert leader.commit_index == index
    assert [node.commit_index for node in followers] == [index - 1] * 2
    leader.announce_commit(now_s)
    exchange(nodes, now_s)
    assert [node.commit_index for node in followers] == [index] * 2
    followers[0].announce_commit(now_s)
    assert not followers[0].take_ready().messages
