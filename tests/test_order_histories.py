"""Randomised histories of orders, with engines that check fences and engines that don't."""

import pytest

from tests.orders_world import OrdersSimulation


@pytest.mark.parametrize("seed", range(40))
def test_memory_and_copies_in_a_random_history(seed):
    simulation = OrdersSimulation(seed)
    simulation.run(400)
    simulation.recover_s()


@pytest.mark.parametrize("checks_fence", [True, False])
def test_the_last_copy_is_never_unloaded_without_failures(checks_fence):
    simulation = OrdersSimulation(7, checks_fence=checks_fence)
    for _ in range(600):
        simulation.step()
        if simulation.random.random() < 0.02:
            simulation.start_leader()
    assert simulation.failures == 0 and not simulation.missing()
