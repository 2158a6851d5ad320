"""Traces of the concurrency limit, and the outage that they showed after a cold start of the whole fleet."""

import msgspec
import pytest
from test_operator_file import command

from ochreflow.simulation.limit_scenarios import LIMIT_SCENARIOS
from ochreflow.simulation.limit_trace import trace
from ochreflow.simulation.simulation import simulate

replace = msgspec.structs.replace


def cold_start(sidecars, cores, rate, **fleet):
    base = LIMIT_SCENARIOS["cold start"][0]
    scenario = replace(base, sidecar_count=sidecars, load=replace(base.load, rate_per_s=rate))
    return replace(scenario, fleet=replace(base.fleet, cores=cores, **fleet))


@pytest.mark.parametrize(("sidecars", "cores"), [(1, 2), (4, 2), (16, 4)])
def test_a_fleet_that_starts_cold_answers_from_the_beginning(sidecars, cores):
    """Guards against a slow start that allows no sends without a response, until the warm-up time is over."""
    result = simulate(cold_start(sidecars, cores, 65.0 * cores), 1)
    assert result.outcome == 0
    durations = [time for logical in result.report.logical_requests.values() for time in logical.values()]
    assert sum(time is not None for time in durations) > 0.9 * len(durations)


@pytest.mark.parametrize(("sidecars", "cores"), [(1, 1), (4, 1), (1, 4), (16, 4)])
def test_a_cold_fleet_does_not_collapse_under_overload(sidecars, cores):
    scenario = cold_start(sidecars, cores, 300.0 * cores, warm_up_s=30.0, start_capacity=0.05)
    assert not simulate(replace(scenario, duration_s=16.0), 1).report.findings


def test_a_trace_counts_each_request_once_and_its_oracle_is_limited_by_the_capacity_of_the_fleet():
    scenario, fault_end = LIMIT_SCENARIOS["step"]
    traced, summary = trace(scenario, 2, fault_end)
    assert len(traced.limit) == len(traced.offered) == 60
    assert sum(traced.offered) == summary.offered > 10_000
    for step, offered in enumerate(traced.offered):
        assert traced.in_time[step] <= traced.admitted[step] <= offered >= traced.oracle[step]
    assert 0.8 < summary.oracle / summary.offered < 1.0  # the step exceeds the fleet's capacity
    before_fault = [step for step in range(60) if step < 16]
    assert all(traced.oracle[step] == traced.offered[step] for step in before_fault)
    slow, _ = trace(replace(scenario, fleet=replace(scenario.fleet, cores=1)), 2, fault_end)
    assert sum(slow.oracle) < 0.8 * sum(traced.oracle)


def test_the_command_prints_a_line_and_writes_plots(tmp_path):
    html = tmp_path / "t.html"
    completed = command("lab", "trace", "few", "--seeds", "2", "--jobs", "2", "--html", str(html))
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.splitlines()[1].startswith("few ") and "1.0000" in completed.stdout
    assert html.read_text().count("data:image/png;base64,") == 1
    completed = command("lab", "trace", "none")
    assert (
        completed.returncode == 2
        and "no such course" in completed.stderr
        and completed.stderr.count("\n") == 1
    )
