"""The plans of the duplicate search: what a seed draws, and what may be left out."""

from ochreflow.lab.duplicates.classes import Effect, Scope
from ochreflow.lab.duplicates.drawing import REQUESTS_PER_SURGE, draw
from ochreflow.lab.duplicates.fault_groups import FaultGroup
from ochreflow.lab.duplicates.plan import (
    DisconnectMode,
    SidecarChange,
)
from ochreflow.lab.duplicates.treatment import Ending


def test_the_same_seed_draws_the_same_plan_and_treatments():
    one, other = (draw(7, 5.0, frozenset(FaultGroup)) for _ in range(2))
    assert one == other
    assert one != draw(8, 5.0, frozenset(FaultGroup))
    forwards = [one.treatment(request, 0) for request in one.requests]
    backwards = [other.treatment(request, 0) for request in reversed(other.requests)]
    assert forwards == backwards[::-1]


def test_plans_leave_out_the_groups_that_are_not_asked_for():
    plan = draw(7, 5.0, frozenset())
    assert not plan.server_steps and not plan.sidecar_steps and not plan.bursts and not plan.pairs
    treatments = [plan.treatment(request, 0) for request in plan.requests]
    assert not any(
        one.early or one.second_answer_after is not None or one.freeze_for is not None for one in treatments
    )
    assert not any(one.group_offset is not None for one in treatments)
    assert not any(request.disconnects_after is not None for request in plan.requests)


def test_plans_contain_each_fault_and_each_class():
    plans = [draw(seed, 5.0, frozenset(FaultGroup)) for seed in range(20)]
    endings = {plan.treatment(request, 0).ending for plan in plans for request in plan.requests}
    assert endings == set(Ending)
    assert {request.cls.scope for plan in plans for request in plan.requests} == set(Scope)
    assert {request.cls.effect for plan in plans for request in plan.requests} == set(Effect)
    modes = {
        request.disconnect_mode
        for plan in plans
        for request in plan.requests
        if request.disconnects_after is not None
    }
    assert modes == set(DisconnectMode)


def test_surges_are_a_part_of_the_bursts():
    plan = draw(7, 5.0, frozenset(FaultGroup))
    without = draw(7, 5.0, frozenset(FaultGroup) - {FaultGroup.BURSTS})
    rushed = set(plan.requests) - set(without.requests)
    assert len(rushed) == 5 * REQUESTS_PER_SURGE
    assert {request.cls.effect for request in rushed} == {Effect.NON_IDEMPOTENT}
    assert all(request in plan.requests for request in without.requests)


def test_pairs_are_drawn_at_sidecars_that_never_end_only():
    plans = [draw(seed, 5.0, frozenset(FaultGroup)) for seed in range(20)]
    ends = (SidecarChange.TERM, SidecarChange.KILL)
    for plan in plans:
        ending = {step.sidecar for step in plan.sidecar_steps if step.change in ends}
        assert not ending & {pair.order.sidecar for pair in plan.pairs}
    assert sum(bool(plan.pairs) for plan in plans) > len(plans) // 2


def test_servers_move_while_they_have_attempts_of_which_the_group_matters():
    plans = [draw(seed, 5.0, frozenset(FaultGroup)) for seed in range(20)]
    moved = [
        (plan, request)
        for plan in plans
        for request in plan.requests
        if plan.treatment(request, 0).group_offset is not None
    ]
    assert {request.cls.scope for _, request in moved} == {Scope.ZONE, Scope.CELL}
    assert all(0 < plan.treatment(request, 0).group_offset < len(plan.servers) for plan, request in moved)
