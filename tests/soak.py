"""Long randomised runs with fresh seeds: `make soak MINUTES=30 [SEED=n]`.

Prints the seed of each failing run; that seed repeats the run exactly.
"""

import argparse
import secrets
import sys
import time
import traceback

from tests.scenario import Scenario

ACTIONS_PER_RUN = 200


def run(seed: int) -> int:
    """Do one run; return the number of simulated steps."""
    scenario = Scenario(3 if seed % 2 else 5, seed)
    for _ in range(ACTIONS_PER_RUN):
        scenario.act()
    scenario.finish()
    return scenario.group.steps


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--minutes", type=float, default=30.0)
    parser.add_argument("--seed", default="random")
    arguments = parser.parse_args()
    end_s = time.monotonic() + arguments.minutes * 60
    runs = steps = failures = 0
    single = arguments.seed != "random"
    while time.monotonic() < end_s:
        seed = int(arguments.seed) if single else secrets.randbits(40)
        try:
            steps += run(seed)
        except Exception:
            failures += 1
            print(f"FAILED with SEED={seed}")
            traceback.print_exc()
        runs += 1
        if single:
            break
    print(f"{runs} runs, {steps} steps, {failures} failures")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
