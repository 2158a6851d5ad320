"""Scenarios in simulated time: reproducible event logs, judged like those of runs on processes."""

import msgspec
import pytest
from test_scenarios import COLD_START, DRAINED, FAULTY_NODES, KILLED, MUTATIONS, mutated_build

from ochreflow.core import attempt_manager, request_manager
from ochreflow.lab.scenario import read_scenario, scenario_names
from ochreflow.simulation import simulated_sidecar
from ochreflow.simulation.policy_loader import load_policy
from ochreflow.simulation.simulation import Simulation, simulate

RULES_OF_THE_MODULE = [rule for rule, (file, *_) in MUTATIONS.items() if file.startswith("policy/")]


@pytest.mark.parametrize("name", scenario_names())
def test_every_scenario_of_the_library_keeps_every_rule(name):
    result = simulate(read_scenario(name), 3)
    assert result.outcome == 0, result.report.findings[:3]
    durations = [
        duration for logical in result.report.logical_requests.values() for duration in logical.values()
    ]
    assert sum(time is not None for time in durations) > 0.8 * len(durations) > 500


def test_the_same_seed_gives_the_same_digest_and_another_seed_another():
    scenario = read_scenario("odd-clients")
    digests = [simulate(scenario, seed).digest for seed in (5, 5, 6)]
    assert digests[0] == digests[1] != digests[2]


@pytest.mark.parametrize("rule", RULES_OF_THE_MODULE)
def test_a_sabotaged_module_breaks_its_rule(rule, tmp_path):
    file, old, new, scenario = MUTATIONS[rule]
    for seed in range(1, 9):  # several seeds, as violations may depend on chance
        assert simulate(scenario, seed).outcome == 0
    build_dir = mutated_build(tmp_path, file, old, new)
    broken_rules = {
        finding.rule
        for seed in range(1, 9)
        for finding in simulate(scenario, seed, build_dir).report.findings
    }
    assert rule in broken_rules


def test_unanswered_requests_of_a_killed_sidecar_are_counted_but_break_no_rule():
    result = simulate(read_scenario("kill-loop"), 1)
    lost = sum(counts["lost"] for counts in result.report.by_class.values())
    assert lost > 10 and result.outcome == 0


def test_the_margins_equal_those_of_the_engine():
    """The simulation may not import the core, so it has its own copy of the margins."""
    assert simulated_sidecar.ATTEMPT_MARGIN_NS == attempt_manager.ATTEMPT_MARGIN_NS
    assert simulated_sidecar.WATCHDOG_MARGIN_NS == request_manager.WATCHDOG_MARGIN_NS


@pytest.mark.parametrize("scenario", [FAULTY_NODES, DRAINED, KILLED, COLD_START])
def test_the_offered_load_depends_on_the_seed_but_not_on_the_nodes(scenario):
    """Slower nodes give fewer responses, but clients send the same requests."""
    first = simulate(scenario, 2).report.logical_requests
    slower = msgspec.structs.replace(scenario, fleet=msgspec.structs.replace(scenario.fleet, cores=1))
    with_slower_nodes = simulate(slower, 2).report.logical_requests
    assert {name: set(request_ids) for name, request_ids in first.items()} == {
        name: set(request_ids) for name, request_ids in with_slower_nodes.items()
    }


def test_loading_a_build_without_a_decision_module_raises_an_error(tmp_path):
    with pytest.raises(FileNotFoundError, match="no decision module"):
        load_policy(tmp_path)
    assert (
        load_policy(None) is not load_policy(None)
        and load_policy(None).balancer is load_policy(None).balancer
    )


def test_nodes_of_a_group_share_a_deduplication_group():
    run = Simulation(read_scenario("odd-clients"), 1, load_policy(None))
    run.run()
    nodes = run.directory.nodes
    assert (
        nodes["node-1"].model.dedup_group
        is nodes["node-2"].model.dedup_group
        is not nodes["node-3"].model.dedup_group
    )
