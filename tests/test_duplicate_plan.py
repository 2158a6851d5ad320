"""The plans of the duplicate search: what a seed draws, and which fault groups can be excluded."""

from ochreflow.lab.duplicates.classes import Effect, Scope
from ochreflow.lab.duplicates.drawing import REQUESTS_PER_SURGE, draw
from ochreflow.lab.duplicates.fault_groups import FaultGroup
from ochreflow.lab.duplicates.plan import (
    DisconnectMode,
    SidecarChange,
)
from ochreflow.lab.duplicates.treatment import Ending


def test_the_same_seed_draws_the_same_plan_and_treatments():
    first, second = (draw(7, 5.0, frozenset(FaultGroup)) for _ in range(2))
    assert first == second
    assert first != draw(8, 5.0, frozenset(FaultGroup))
    forwards = [first.treatment(request, 0) for request in first.requests]
    backwards = [second.treatment(request, 0) for request in reversed(second.requests)]
    assert forwards == backwards[::-1]


def test_plans_contain_no_faults_of_excluded_groups():
    plan = draw(7, 5.0, frozenset())
    assert not plan.server_steps and not plan.sidecar_steps and not plan.bursts and not plan.pairs
    treatments = [plan.treatment(request, 0) for request in plan.requests]
    assert not any(
        treatment.early or treatment.second_response_after is not None or treatment.freeze_for is not None
        for treatment in treatments
    )
    assert not any(treatment.group_offset is not None for treatment in treatments)
    assert not any(request.disconnects_after is not None for request in plan.requests)


def test_plans_contain_each_fault_and_each_class():
    plans = [draw(seed, 5.0, frozenset(FaultGroup)) for seed in range(20)]
    endings = {plan.treatment(request, 0).ending for plan in plans for request in plan.requests}
    assert endings == set(Ending)
    assert {request.request_class.scope for plan in plans for request in plan.requests} == set(Scope)
    assert {request.request_class.effect for plan in plans for request in plan.requests} == set(Effect)
    modes = {
        request.disconnect_mode
        for plan in plans
        for request in plan.requests
        if request.disconnects_after is not None
    }
    assert modes == set(DisconnectMode)


def test_surges_belong_to_the_fault_group_of_bursts():
    plan = draw(7, 5.0, frozenset(FaultGroup))
    without_bursts = draw(7, 5.0, frozenset(FaultGroup) - {FaultGroup.BURSTS})
    surge_requests = set(plan.requests) - set(without_bursts.requests)
    assert len(surge_requests) == 5 * REQUESTS_PER_SURGE
    assert {request.request_class.effect for request in surge_requests} == {Effect.NON_IDEMPOTENT}
    assert all(request in plan.requests for request in without_bursts.requests)


def test_pairs_are_drawn_only_for_sidecars_that_never_stop():
    plans = [draw(seed, 5.0, frozenset(FaultGroup)) for seed in range(20)]
    stop_signals = (SidecarChange.TERM, SidecarChange.KILL)
    for plan in plans:
        stopped_sidecars = {step.sidecar for step in plan.sidecar_steps if step.change in stop_signals}
        assert not stopped_sidecars & {pair.second_request.sidecar for pair in plan.pairs}
    assert sum(bool(plan.pairs) for plan in plans) > len(plans) // 2


def test_servers_move_only_during_attempts_with_keys_of_a_zone_or_cell():
    plans = [draw(seed, 5.0, frozenset(FaultGroup)) for seed in range(20)]
    moved = [
        (plan, request)
        for plan in plans
        for request in plan.requests
        if plan.treatment(request, 0).group_offset is not None
    ]
    assert {request.request_class.scope for _, request in moved} == {Scope.ZONE, Scope.CELL}
    assert all(0 < plan.treatment(request, 0).group_offset < len(plan.servers) for plan, request in moved)
