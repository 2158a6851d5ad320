"""Courses of the limit: what is traced, and the cold start that the traces found to be an outage."""

import msgspec
import pytest
from test_operator_file import command

from ochreflow.simulation.limit_scenarios import LIMIT_SCENARIOS
from ochreflow.simulation.limit_trace import trace
from ochreflow.simulation.simulation import simulate

replace = msgspec.structs.replace


def cold(sidecars, cores, rate, **fleet):
    course = LIMIT_SCENARIOS["cold start"][0]
    made = replace(course, sidecar_count=sidecars, load=replace(course.load, rate_per_s=rate))
    return replace(made, fleet=replace(course.fleet, cores=cores, **fleet))


@pytest.mark.parametrize(("sidecars", "cores"), [(1, 2), (4, 2), (16, 4)])
def test_a_fleet_that_warms_up_together_is_used_at_once(sidecars, cores):
    """With no answer there was no pace, and with no pace no answer, until the fleet was warm by its clock."""
    result = simulate(cold(sidecars, cores, 65.0 * cores), 1)
    assert result.outcome == 0
    durations = [time for logical in result.report.logical_requests.values() for time in logical.values()]
    assert sum(time is not None for time in durations) > 0.9 * len(durations)


@pytest.mark.parametrize(("sidecars", "cores"), [(1, 1), (4, 1), (1, 4), (16, 4)])
def test_no_fleet_that_warms_up_collapses_under_far_too_high_load(sidecars, cores):
    given = cold(sidecars, cores, 300.0 * cores, warm_up_s=30.0, start_capacity=0.05)
    assert not simulate(replace(given, duration_s=16.0), 1).report.findings


def test_a_trace_counts_every_request_once_and_the_oracle_knows_the_fleet():
    course, ended = LIMIT_SCENARIOS["step"]
    made, figures = trace(course, 2, ended)
    assert len(made.limit) == len(made.offered) == 60
    assert sum(made.offered) == figures.offered > 10_000
    for at, offered in enumerate(made.offered):
        assert made.in_time[at] <= made.admitted[at] <= offered >= made.oracle[at]
    assert 0.8 < figures.oracle / figures.offered < 1.0  # the step is more than the fleet can do
    calm = [at for at in range(60) if at < 16]
    assert all(made.oracle[at] == made.offered[at] for at in calm)
    slow, _ = trace(replace(course, fleet=replace(course.fleet, cores=1)), 2, ended)
    assert sum(slow.oracle) < 0.8 * sum(made.oracle)


def test_the_command_traces_and_plots(tmp_path):
    html = tmp_path / "t.html"
    done = command("lab", "trace", "few", "--seeds", "2", "--jobs", "2", "--html", str(html))
    assert done.returncode == 0, done.stderr
    assert done.stdout.splitlines()[1].startswith("few ") and "1.0000" in done.stdout
    assert html.read_text().count("data:image/png;base64,") == 1
    done = command("lab", "trace", "none")
    assert done.returncode == 2 and "no such course" in done.stderr and done.stderr.count("\n") == 1
