"""Scenarios with the complete program: an unchanged build keeps all rules, a mutated one breaks its own."""

import json
import re
import shutil
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import pytest
from simulated import run_scenario
from test_operator_file import command

import ochreflow
from ochreflow.lab.judge import RULES
from ochreflow.lab.runs import weighted_goodput
from ochreflow.lab.scenario import Burst, Scenario, ScenarioError, rate_factor, read_scenario, scenario_names

PROGRAM = Path(ochreflow.__file__).parent
PARALLEL_RUNS = 3  # one process each
REQUEST_CLASSES = {
    "exposure": {"share": 0.7, "work": 0.045, "repeat": "keyed", "deadline": 2.0},
    "assign": {"share": 0.3, "work": 0.03, "repeat": "unsafe", "deadline": 2.0},
}


def scenario(seconds, rate, nodes, *steps, **fleet):
    spec = {
        "says": "of a test",
        "kinds": REQUEST_CLASSES,
        "seconds": seconds,
        "load": {"rate": rate},
        "fleet": {"nodes": nodes, **fleet},
        "steps": [dict(zip(("at", "do", "nodes", "much"), step, strict=False)) for step in steps],
    }
    return msgspec.convert(spec, Scenario)


FAULTY_NODES = scenario(5.0, 60, 4, (0.1, "swallow", [1]), (0.3, "fail", [2], 0.7), (0.6, "well", [1, 2]))
DRAINED = scenario(5.0, 40, 3, (0.1, "drain", [1]))
KILLED = scenario(  # nodes with many requests in process die one after the other
    6.0,
    60,
    6,
    (0.05, "slow", [1, 2, 3, 4, 5, 6], 4.0),
    *((at, "vanish", [node]) for at, node in ((0.3, 1), (0.45, 2), (0.6, 3), (0.75, 4))),
)
COLD_START = msgspec.structs.replace(
    scenario(7.0, 100, 2, (0.1, "gone", [1]), (0.12, "come", [3]), warm_within=60.0, start_capacity=0.05),
    sidecar_count=4,
)
MUTATIONS = {  # broken rule -> the file, the text, its replacement, and a scenario that shows the violation
    "one final answer": (
        "core/request_manager.py",
        "        pending.response_sink.respond(pending.request, response)",
        "        response.answer and pending.response_sink.respond(pending.request, response)",
        FAULTY_NODES,
    ),
    "no repeat beyond the class": (
        "policy/safety_rules.py",
        "attempt.cell != server.cell if spec.scope",
        "attempt.zone != server.zone if spec.scope",
        KILLED,
    ),
    "drains kept": (
        "membership/endpoint_list.py",
        '"DRAINING": State.DRAINING',
        '"DRAINING": State.READY',
        DRAINED,
    ),
    "no cold node pushed over": (
        "policy/safety_rules.py",
        "        return self.slow_start.allows(server, request.class_index, consume=False)",
        "        return bool(server.started) or self.context.random.random() < 0.1",
        COLD_START,
    ),
    "within its means": (
        "core/request_manager.py",
        "        self.pending[pending.id] = pending\n",
        "        self.pending[pending.id] = pending\n"
        "        self.__dict__.setdefault('kept', []).append(b'x' * 1_500_000)\n",
        FAULTY_NODES,
    ),
    "true answers": (
        "http/response_format.py",
        "return OK, answer.header_lines, answer.body",
        "return OK, answer.header_lines, answer.body[:-1]",
        DRAINED,
    ),
}


def mutated_build(build_dir, file, old, new):
    """Copy the program with one text replaced, and return its directory."""
    shutil.copytree(PROGRAM, build_dir / "ochreflow", ignore=shutil.ignore_patterns("__pycache__"))
    path = build_dir / "ochreflow" / file
    text = path.read_text()
    assert text.count(old) == 1
    path.write_text(text.replace(old, new))
    return build_dir


def test_each_mutated_build_breaks_its_rule_and_the_unchanged_build_breaks_none(tmp_path):
    """Runs in simulated time (`simulated.py`), so the load of the machine does not affect the verdicts."""
    assert set(MUTATIONS) == set(RULES)

    def run_named(name, tested_scenario, program):
        run_dir = tmp_path / name
        run_dir.mkdir()
        return name, run_scenario(tested_scenario, run_dir, 1, program)

    runs = [
        (f"good {number}", tested_scenario, None)
        for number, tested_scenario in enumerate((FAULTY_NODES, DRAINED, KILLED, COLD_START))
    ]
    for number, (rule, (file, old, new, tested_scenario)) in enumerate(MUTATIONS.items()):
        runs.append((rule, tested_scenario, mutated_build(tmp_path / f"program {number}", file, old, new)))
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        results = dict(pool.map(lambda arguments: run_named(*arguments), runs))
    for name, run in results.items():
        if name in MUTATIONS:
            assert name in run.broken_rules, name
        else:
            assert not run.findings and not run.crashed, (name, run.findings[:3], run.crashed[:3])
        assert run.requests > 100


def test_a_response_55_ms_after_the_deadline_breaks_the_rule_of_one_final_answer(tmp_path):
    """The judge allows 50 ms; in simulated time the machine adds no delay."""
    file, old, _, tested_scenario = MUTATIONS["one final answer"]
    late = """\
        wait = 0.0 if response.answer else 0.07  # the program gives up 15 ms before the deadline
        self.loop.call_later(wait, pending.response_sink.respond, pending.request, response)"""
    run = run_scenario(tested_scenario, tmp_path, 1, mutated_build(tmp_path / "program", file, old, late))
    assert run.findings and run.broken_rules == {"one final answer"}
    # An attempt that begins less than a millisecond before its end has a timer of one millisecond.
    assert all(re.search(r" after 2\.05[56] of 2 s", text) for _, text in run.findings)


@pytest.mark.xdist_group("real-time")
def test_the_library_scenarios_are_valid_and_the_command_runs_them(tmp_path):
    assert len(scenario_names()) >= 12
    for name in scenario_names():
        assert read_scenario(name).description
    out = tmp_path / "r.jsonl"
    done = command("lab", "run", "quiet", "kill-loop", "--jobs", "2", "--seconds", "5", "--out", str(out))
    assert done.returncode in (0, 3), done.stdout + done.stderr
    results = {line["scenario"]: line for line in map(json.loads, out.read_text().splitlines())}
    assert set(results) == {"quiet", "kill-loop"}
    assert results["quiet"]["verdict"] != "broken" and results["quiet"]["worth"] > 0.9
    assert results["kill-loop"]["verdict"] != "broken"


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ('says = "x"\n', "kinds"),
        ("speed = 1\n", "speed"),
        ('[[steps]]\nat = 2.0\ndo = "drain"\n', "steps[0].at"),
        ('[[steps]]\nat = 0.1\ndo = "explode"\n', "explode"),
        ('[[steps]]\nat = 0.1\ndo = "drain"\nnodes = [9]\n', "nodes that do not exist then: 9"),
        ("[load]\nrate = 0\n", "load.rate"),
        ("[", "Invalid"),
    ],
)
def test_an_invalid_scenario_gives_a_one_line_error(tmp_path, change, message):
    kinds = '[kinds.a]\nshare = 1\nwork = 0.1\nrepeat = "safe"\n'
    path = tmp_path / "s.toml"
    path.write_text(change if "says" in change or change == "[" else f'says = "x"\n{kinds}{change}')
    if change.startswith("speed"):
        path.write_text(f'says = "x"\n{change}{kinds}')
    with pytest.raises(ScenarioError) as caught:
        read_scenario(str(path))
    assert message in str(caught.value) and "\n" not in str(caught.value)
    done = command("lab", "run", str(path))
    assert done.returncode == 2 and done.stderr.count("\n") == 1


def test_the_rate_follows_wave_and_bursts_and_goodput_counts_requests_in_time():
    tested_scenario = scenario(10.0, 50, 1)
    load = msgspec.structs.replace(tested_scenario.load, bursts=(Burst(0.4, 0.5, 2.5),), wave_amplitude=0.5)
    shaped = msgspec.structs.replace(tested_scenario, load=load)
    assert rate_factor(shaped, 0.0) == 1.5 and rate_factor(shaped, 5.0) == 0.5
    assert rate_factor(shaped, 4.5) / rate_factor(shaped, 5.5) == pytest.approx(2.5)
    counts = {"wanted": 10, "in_time": 5}
    assert (
        weighted_goodput(tested_scenario, {"exposure": counts, "assign": {"wanted": 0, "in_time": 0}}) == 0.5
    )
