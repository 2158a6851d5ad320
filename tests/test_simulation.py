"""Scenarios in simulated time: the same bytes for the same seed, and the same judge."""

import msgspec
import pytest
from test_scenarios import COLD, DRAINED, KILLED, SABOTAGE, TROUBLED, sabotaged

from ochreflow.core import attempt_manager, request_manager
from ochreflow.lab.scenario import read_scenario, scenario_names
from ochreflow.simulation import simulated_sidecar
from ochreflow.simulation.policy_loader import load_policy
from ochreflow.simulation.simulation import Simulation, simulate

OF_THE_MODULE = [rule for rule, (file, *_) in SABOTAGE.items() if file.startswith("policy/")]


@pytest.mark.parametrize("name", scenario_names())
def test_the_library_keeps_every_rule(name):
    result = simulate(read_scenario(name), 3)
    assert result.outcome == 0, result.report.findings[:3]
    durations = [
        duration for logical in result.report.logical_requests.values() for duration in logical.values()
    ]
    assert sum(time is not None for time in durations) > 0.8 * len(durations) > 500


def test_the_same_seed_gives_the_same_bytes_and_another_one_others():
    made = read_scenario("odd-clients")
    digests = [simulate(made, seed).digest for seed in (5, 5, 6)]
    assert digests[0] == digests[1] != digests[2]


@pytest.mark.parametrize("rule", OF_THE_MODULE)
def test_a_sabotaged_module_is_convicted(rule, tmp_path):
    file, old, new, made = SABOTAGE[rule]
    for seed in range(1, 9):  # what chance decides needs some seeds; a good module breaks nothing in any
        assert simulate(made, seed).outcome == 0
    program = sabotaged(tmp_path, file, old, new)
    found = {
        finding.rule for seed in range(1, 9) for finding in simulate(made, seed, program).report.findings
    }
    assert rule in found


def test_unanswered_requests_of_a_killed_sidecar_are_counted_and_excused():
    result = simulate(read_scenario("kill-loop"), 1)
    lost = sum(counts["lost"] for counts in result.report.by_class.values())
    assert lost > 10 and result.outcome == 0


def test_the_margins_are_those_of_the_engine():
    """The simulation may not import it, and keeps its own copy."""
    assert simulated_sidecar.ATTEMPT_MARGIN_NS == attempt_manager.ATTEMPT_MARGIN_NS
    assert simulated_sidecar.WATCHDOG_MARGIN_NS == request_manager.WATCHDOG_MARGIN_NS


@pytest.mark.parametrize("made", [TROUBLED, DRAINED, KILLED, COLD])
def test_what_is_offered_depends_on_the_seed_alone(made):
    """Slower nodes answer less, and are asked the same."""
    first = simulate(made, 2).report.logical_requests
    slower = msgspec.structs.replace(made, fleet=msgspec.structs.replace(made.fleet, cores=1))
    again = simulate(slower, 2).report.logical_requests
    assert {name: set(idents) for name, idents in first.items()} == {
        name: set(idents) for name, idents in again.items()
    }


def test_a_build_without_a_decision_module_is_an_error(tmp_path):
    with pytest.raises(FileNotFoundError, match="no decision module"):
        load_policy(tmp_path)
    assert (
        load_policy(None) is not load_policy(None)
        and load_policy(None).balancer is load_policy(None).balancer
    )


def test_nodes_of_a_group_drop_each_other_s_duplicates():
    run = Simulation(read_scenario("odd-clients"), 1, load_policy(None))
    run.run()
    nodes = run.directory.nodes
    assert (
        nodes["node-1"].model.dedup_group
        is nodes["node-2"].model.dedup_group
        is not nodes["node-3"].model.dedup_group
    )
