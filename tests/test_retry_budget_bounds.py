"""The retry budget of all gateways together, in simulated time."""

from collections import deque
from random import Random

import pytest

from crowsill.control.retry_grants import retry_account
from crowsill.model.tenants import Tenant
from crowsill.routing.earned_retries import GRANTED_PART, EarnedRetries, RetryBudgetLimits
from crowsill.state.quota_use import QuotaUse
from crowsill.tenancy.grant_ledger import GrantLedger, InheritedUse, QuotaBounds

STEP_S = 0.05
PLAYED_S = 60.0
# Part of the budget that any window may use.
MAX_SHARE = 0.9
MAX_RETRIES_PER_REQUEST = 2


class Gateways:
    """Gateways of which every request fails, and the leader that grants retries."""

    def __init__(self, count, limits, seed):
        self.limits = limits
        self.random = Random(seed)
        self.now_s = 0.0
        self.use = QuotaUse()
        self.account = Tenant(
            retry_account("till"), rate_per_s=GRANTED_PART * limits.allowance / limits.window_s
        )
        self.applied_at_s = 0.0
        self.gateways = [EarnedRetries(limits, -100.0) for _ in range(count)]
        self.cut_off = set()
        self.requests_s = []
        self.retries_s = []
        self.elect()

    def elect(self):
        """Start a leader that knows the record alone."""
        inherited = {
            name: InheritedUse(units, self.applied_at_s) for name, units in self.use.units.items()
        }
        self.ledger = GrantLedger(QuotaBounds(self.limits.window_s), inherited, self.now_s)

    def restart(self, numbers):
        for number in numbers:
            self.gateways[number] = EarnedRetries(self.limits, self.now_s)

    def _record(self):
        due = self.ledger.due(self.now_s)
        self.use.record(due)
        self.ledger.note_recorded(due)
        self.applied_at_s = self.now_s

    def _is_granted(self):
        for _ in range(3):
            decision = self.ledger.grant(self.account, 1.0, self.now_s)
            if decision is not None:
                return decision.is_granted
            self._record()
        return False

    def send(self):
        """Send one request to a random gateway, and retry it as often as it may be."""
        number = self.random.randrange(len(self.gateways))
        gateway = self.gateways[number]
        self.requests_s.append(self.now_s)
        gateway.earn(self.now_s)
        for _ in range(MAX_RETRIES_PER_REQUEST):
            charge = gateway.charge(self.now_s)
            if charge is not None:
                charge.note_sent(self.now_s)
            elif number in self.cut_off or not self._is_granted():
                return
            self.retries_s.append(self.now_s)

    def play(self, rate_per_s, trouble):
        """Send requests at a rate while `trouble` is called at each step."""
        for step in range(int(PLAYED_S / STEP_S)):
            self.now_s = step * STEP_S
            trouble(self, step)
            if step % 10 == 0:
                self._record()
            mean = rate_per_s * STEP_S
            for _ in range(int(mean) + (self.random.random() < mean % 1.0)):
                self.send()


def worst_share(gateways):
    """Return the largest share of the budget that any window used."""
    limits = gateways.limits
    window_s = limits.window_s

    def counts(times_s):
        recent, found = deque(), []
        position = 0
        for step in range(int(PLAYED_S / STEP_S)):
            now_s = step * STEP_S
            while position < len(times_s) and times_s[position] <= now_s:
                recent.append(times_s[position])
                position += 1
            while recent and recent[0] <= now_s - window_s:
                recent.popleft()
            found.append(len(recent))
        return found

    requests, retries = counts(gateways.requests_s), counts(gateways.retries_s)
    back = int(window_s / STEP_S)
    worst = 0.0
    for step, spent in enumerate(retries):
        most = max(requests[max(0, step - part)] for part in (0, back // 2, back))
        worst = max(worst, spent / (limits.ratio * most + limits.allowance))
    return worst


def nothing(_gateways, _step):
    pass


def power_cuts(gateways, step):
    if gateways.random.random() < 0.01:
        gateways.restart(range(len(gateways.gateways)))
        gateways.elect()


def restarts(gateways, step):
    if gateways.random.random() < 0.02:
        count = gateways.random.randint(1, len(gateways.gateways))
        gateways.restart(gateways.random.sample(range(len(gateways.gateways)), count))


def cuts(gateways, step):
    if gateways.random.random() < 0.01:
        count = gateways.random.randint(0, len(gateways.gateways))
        gateways.cut_off = set(gateways.random.sample(range(len(gateways.gateways)), count))


def leader_losses(gateways, step):
    if gateways.random.random() < 0.02:
        gateways.elect()


def everything(gateways, step):
    for trouble in (power_cuts, restarts, cuts, leader_losses):
        trouble(gateways, step)


TROUBLES = [nothing, power_cuts, restarts, cuts, leader_losses, everything]
# Gateways, allowance and requests per second.
SITES = [(9, 58, 24.0), (9, 58, 60.0), (91, 222, 200.0), (200, 222, 30.0), (200, 500, 500.0)]


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize(("count", "allowance", "rate_per_s"), SITES)
def test_retries_of_all_gateways_stay_within_the_budget(trouble, count, allowance, rate_per_s):
    limits = RetryBudgetLimits(ratio=0.2, window_s=10.0, allowance=allowance)
    for seed in range(3):
        gateways = Gateways(count, limits, seed)
        gateways.play(rate_per_s, trouble)
        assert worst_share(gateways) <= MAX_SHARE, f"seed {seed}"


@pytest.mark.parametrize(("count", "allowance", "rate_per_s"), SITES)
def test_most_of_the_budget_is_used_while_nothing_fails(count, allowance, rate_per_s):
    limits = RetryBudgetLimits(ratio=0.2, window_s=10.0, allowance=allowance)
    gateways = Gateways(count, limits, 1)
    gateways.play(rate_per_s, nothing)
    assert worst_share(gateways) >= 0.5
