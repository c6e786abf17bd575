"""A small deployment of local processes for tests."""

from crowsill_lab.settings import (
    EngineShape,
    LabDeployment,
    ServiceShape,
    StoreShape,
    TrafficShape,
)

MODELS = ["alpha", "alpha:first", "beta"]

CONFIGURATION = """
kind = "template"
name = "small"
[classes.fast]
urgency = "urgent"
target_ms = 500
deadline_ms = 20000
[classes.slow]
urgency = "patient"
target_ms = 5000
deadline_ms = 20000
[models.alpha]
pool = "engines"
memory_mib = 400
traffic_class = "fast"
adapters.first = { memory_mib = 50 }
[models.beta]
pool = "engines"
memory_mib = 400
traffic_class = "slow"
[services.till]
pool = "till"
traffic_class = "fast"
unsafe = true
"""

PARAMETERS = """
kind = "parameters"
tenant = "shop"
template = "small"
token_sha256 = ["{digest}"]
models = ["alpha", "beta"]
services = ["till"]
"""


def small_deployment(entries=2, control_members=3):
    """Return a deployment of one zone with two engines and two replicas of the service `till`."""
    traffic = [
        TrafficShape("till", "shop", 30.0, 500, service="till", path="/pay", unsafe=True),
        TrafficShape("models", "shop", 20.0, 5000, models=MODELS, tokens=10),
    ]
    return LabDeployment(
        zones=["z1"],
        entries=entries,
        control_members=control_members,
        tokens={"shop": "shop-token"},
        configuration="unused",
        engines=[EngineShape("engines", 1000, 8, ["z1", "z1"], step_base_ms=2.0)],
        services=[ServiceShape("till", 32, ["z1", "z1"], mean_ms=5.0)],
        store=StoreShape(loads_per_s=50.0, concurrent=15),
        traffic=traffic,
        platform_lag_s=0.3,
        report_lag_s=0.1,
    )
