"""Each failure that the documentation names: it occurs, is reproducible, and breaks no rule."""

from collections import Counter, defaultdict
from concurrent.futures import ThreadPoolExecutor
from itertools import pairwise
from statistics import median

import msgspec
import pytest
from simulated import run_scenario
from test_scenarios import PARALLEL_RUNS, scenario

from ochreflow.lab.event_log import read_events
from ochreflow.lab.judge import NS_PER_S
from ochreflow.lab.scenario import Burst
from ochreflow.simulation.clock import START_NS
from ochreflow.simulation.policy_loader import load_policy
from ochreflow.simulation.simulation import Simulation

SECONDS, RATE = 8.0, 70


def make_scenario(*steps, **more):
    base = scenario(SECONDS, RATE, 6, *(step[:4] for step in steps))
    malformations = [{"malformation": step[4]} if len(step) > 4 else {} for step in steps]
    replacements = [{"replacements": step[5]} if len(step) > 5 else {} for step in steps]
    pairs = zip(base.steps, malformations, replacements, strict=True)
    return msgspec.structs.replace(
        base, steps=tuple(msgspec.structs.replace(step, **form, **new) for step, form, new in pairs), **more
    )


def counts(run, name):
    return Counter(event["what"] for event in run.get(name, ()))


def slowdowns(run, name):
    """Return each request's run time divided by its cost, by its start in seconds after the first event."""
    began = {event["id"]: event for event in run[name] if event["what"] == "began"}
    first = min(min(event["at"] for event in events) for events in run.values() if events)
    found = {}
    for event in run[name]:
        if event["what"] == "ran" and event["id"] in began:
            start = began[event["id"]]
            found[(start["at"] - first) / NS_PER_S] = (event["at"] - start["at"]) / NS_PER_S / start["cost"]
    return found


def never_finished(run):
    """Return whether node 1 accepted requests that it never finished."""
    count = counts(run, "node-1")
    return count["taken"] - count["ran"] >= 2


def error_share_between(low, high):
    def occurred(run):
        count = counts(run, "node-1")
        return low <= count["failed"] / max(count["taken"], 1) <= high and count["failed"] >= 2

    return occurred


def slowed_down(run):
    times = slowdowns(run, "node-1")
    early = [duration for at, duration in times.items() if at < 0.25 * SECONDS]
    late = [duration for at, duration in times.items() if at > 0.42 * SECONDS]
    return late and median(late) > 1.25 * median(early)


def load_was_higher(run):
    sent = [event["at"] for event in run["clients-1"] if event["what"] == "asked"]
    begin = min(sent)
    in_it = sum(0.4 <= (at - begin) / NS_PER_S / SECONDS < 0.65 for at in sent)
    return 2.0 < (in_it / 0.25) / ((len(sent) - in_it) / 0.75) < 3.0


def silent(run):
    """Return whether node 1, with work in progress, recorded no event for more than two seconds."""
    at = [event["at"] for event in run["node-1"] if event["what"] in ("taken", "ran")]
    return max(late - early for early, late in pairwise(at)) > 2 * NS_PER_S


def ran_requests(run):
    return counts(run, "node-1")["ran"] >= 2


def replaced(run):
    others = defaultdict(list)
    for name in ("node-1", "node-11"):
        others[name] = [event["at"] for event in run[name] if event["what"] == "taken"]
    return others["node-11"] and max(others["node-1"]) < min(others["node-11"])


FAILURES = {
    "swallow": (make_scenario((0.3, "swallow", [1])), never_finished),
    "fail fast, 30 %": (make_scenario((0.1, "fail", [1], 0.3)), error_share_between(0.02, 0.6)),
    "fail fast, 98 %": (make_scenario((0.1, "fail", [1], 0.98)), error_share_between(0.1, 1.0)),
    "neighbour takes 38 %": (make_scenario((0.35, "slow", [1], 1 / (1 - 0.38))), slowed_down),
    "neighbour takes 71 %": (make_scenario((0.35, "slow", [1], 1 / (1 - 0.71))), slowed_down),
    "burst": (
        msgspec.structs.replace(
            make_scenario(),
            load=msgspec.structs.replace(make_scenario().load, bursts=(Burst(0.4, 0.65, 2.5),)),
        ),
        load_was_higher,
    ),
    "silent connections": (make_scenario((0.3, "freeze", [1]), (0.7, "thaw", [1])), silent),
    "answers cut after their heads": (make_scenario((0.1, "spoil", [1], 1.0, "cut")), ran_requests),
    "answers that are garbled": (make_scenario((0.1, "spoil", [1], 1.0, "garbled")), ran_requests),
    "answers that stall": (make_scenario((0.1, "spoil", [1], 1.0, "stalled")), ran_requests),
    "extra bytes after an answer": (make_scenario((0.1, "spoil", [1], 1.0, "extra")), ran_requests),
    "1xx in front": (make_scenario((0.1, "spoil", [1], 1.0, "interim")), ran_requests),
    "replaced at a reused address": (make_scenario((0.4, "replace", [1], 1.0, "extra", (11,))), replaced),
}


@pytest.mark.parametrize("name", FAILURES)
def test_in_simulated_time_the_same_seed_gives_the_same_digest(name):
    failure_scenario, occurred = FAILURES[name]
    runs = [Simulation(failure_scenario, 4, load_policy(None)) for _ in range(2)]
    result = [run.run() for run in runs]
    assert result[0].digest == result[1].digest
    assert result[0].outcome == 0, result[0].report.findings[:3]
    events = {what: event_log.events for what, event_log in runs[0].event_logs.items()}
    assert all(event["at"] >= START_NS for event in events["clients-1"])
    assert occurred(events)


def test_on_sockets_each_failure_occurs_and_breaks_no_rule(tmp_path):
    """Run the complete program on loopback sockets, in simulated time (`simulated.py`): no run is void."""

    def judged(name):
        run_dir = tmp_path / name
        run_dir.mkdir()
        return name, run_scenario(FAILURES[name][0], run_dir, 4)

    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        result = dict(pool.map(judged, FAILURES))
    for name, (_, occurred) in FAILURES.items():
        run = {path.stem: list(read_events(path)) for path in (tmp_path / name).glob("*.jsonl")}
        assert not result[name].crashed, (name, result[name].crashed[:3])
        assert not result[name].findings, (name, result[name].findings[:3])
        assert occurred(run), name
