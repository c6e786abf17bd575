"""A new leader must not confirm versions as current before it has applied all earlier entries.

The new leader's disk hangs in the first write of its term. The other members commit that write, so
its lease is valid, but its state machine has not applied entries that the former leader had
acknowledged. It would confirm old routes, and gateways would accept revoked keys.
"""

import asyncio
from types import SimpleNamespace

from crowsill.consensus.membership import Membership
from crowsill.control.driver import ConsensusDriver
from crowsill.state.machine import StateMachine


class SettledNode:
    """A leader whose term started with entry 5, which is committed."""

    def has_lease(self, _now_s):
        return True

    leader = SimpleNamespace(first_index=5)
    log = SimpleNamespace(term_at=lambda index: 1)


def driver(applied_index):
    return ConsensusDriver(
        node=SettledNode(),
        journal=None,
        machine=StateMachine(),
        applied_index=applied_index,
        applied_membership=Membership(),
        send=lambda envelopes: None,
        tick_s=0.05,
        on_applied=lambda command, result: None,
        on_role=lambda role: None,
        on_restored=lambda: None,
    )


def test_a_leader_has_a_lease_only_after_applying_all_entries_of_earlier_terms():
    async def scenario():
        assert not driver(applied_index=3).has_lease()
        assert not driver(applied_index=4).has_lease()
        assert driver(applied_index=5).has_lease()

    asyncio.run(scenario())
