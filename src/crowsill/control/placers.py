"""Wires the placers of a leading member from its settings and its other parts."""

from collections.abc import Callable
from dataclasses import dataclass

from crowsill.backends.engine_calls import EngineCalls
from crowsill.backends.interface import EnginePort
from crowsill.clock import monotonic_s
from crowsill.control.driver import ConsensusDriver
from crowsill.control.engine_jobs import EngineJobPorts
from crowsill.control.model_placer import ModelPlacer, ModelPlacerPorts, WeightStoreLimits
from crowsill.control.placement_controller import PlacementController, PlacementPorts
from crowsill.control.service import MemberService
from crowsill.control.store_loads import StoreLoadLog
from crowsill.model.fleet import FleetView
from crowsill.model.routes import RouteConfiguration
from crowsill.placement.core import PlacementLimits
from crowsill.settings import ControlSettings


@dataclass(frozen=True, slots=True)
class LeadingMember:
    """The parts of a member that leads.

    Attributes:
        node: Its name, sent with its orders as the holder.
        control: Its settings.
        service: Handles requests of other processes.
        driver: Its consensus driver.
        routes: Returns the active routes.
        store_loads: Loads from the weight store that leaders recorded.
    """

    node: str
    control: ControlSettings
    service: MemberService
    driver: ConsensusDriver
    routes: Callable[[], RouteConfiguration | None]
    store_loads: StoreLoadLog


def make_registered_placer(member: LeadingMember, calls: EngineCalls) -> ModelPlacer:
    """Return the placer for engines that register themselves."""
    control, service, driver = member.control, member.service, member.driver
    started_at_s = monotonic_s()
    engines = EngineJobPorts(
        machine=driver.machine,
        calls=calls,
        submit=driver.submit,
        has_lease=driver.has_lease,
        is_lost=lambda instance_id: service.liveness.is_lost(instance_id, started_at_s),
    )
    ports = ModelPlacerPorts(
        engines=engines,
        routes=member.routes,
        collect_demand=service.reports.demand.collect,
        collect_urgent=service.reports.urgent.collect,
        collect_overloaded=service.reports.overloaded.collect,
        heartbeat_s=control.replica_heartbeat_s,
        limit_of=service.reports.replica_grants.limit_per_s_of,
        recorded_loads=member.store_loads.since,
        pace_of=lambda instance_id: service.reports.paces.certain_percent_of(
            instance_id, monotonic_s()
        ),
    )
    return ModelPlacer(
        ports,
        WeightStoreLimits(control.store_window_s, control.store_burst),
        member.node,
        driver.node.term,
        0.0 if control.replicas_check_fences else control.order_lease_s,
        turn_share=control.rare_model_turns,
    )


def make_polled_placer(
    member: LeadingMember, engines: EnginePort, fleet: FleetView
) -> PlacementController:
    """Return the placer for polled back ends."""
    control, driver = member.control, member.driver
    ports = PlacementPorts(
        machine=driver.machine,
        fleet=fleet,
        engines=engines,
        submit=driver.submit,
        has_lease=driver.has_lease,
        collect_demand=member.service.reports.demand.collect,
    )
    limits = PlacementLimits(
        loads_per_s=control.weight_store_loads_per_s,
        concurrent_loads=control.weight_store_concurrent,
        longest_order_delay_s=control.longest_order_delay_s,
        longest_report_lag_s=control.longest_report_lag_s,
    )
    return PlacementController(ports, limits, driver.node.term)
