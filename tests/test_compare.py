"""Comparison of builds: pairs, intervals, conclusions and the report."""

import json
import subprocess

import pytest
from test_operator_file import command

from ochreflow.lab.builds import BuildError, make_build
from ochreflow.lab.differences import differences, interval


def result(build, seed, worth, scenario="s", verdict="kept"):
    classes = {"a": {"p99": 0.1, "attempts": 10, "asked": 10}}
    return {
        "scenario": scenario,
        "seed": seed,
        "build": build,
        "worth": worth,
        "verdict": verdict,
        "classes": classes,
    }


def worth_by_scenario(results):
    return {found.scenario: found for found in differences(results, "A", "B") if found.measure == "worth"}


@pytest.mark.parametrize(
    ("by", "verdict"),
    [
        ([0.02, 0.03, 0.01, 0.02, 0.02], "better"),
        ([-0.02, -0.03, -0.01, -0.02, -0.02], "worse"),
        ([0.05, -0.04, 0.03, -0.05, 0.01], "no difference shown"),
        ([0.0] * 5, "no difference shown"),
        ([0.5, 0.5], "no difference shown"),  # two pairs can't tell a difference from chance
    ],
)
def test_the_conclusion_follows_the_interval_of_pairs(by, verdict):
    # Seeds differ by far more than builds do, so only paired runs show the difference.
    results = [result("A", seed, 0.1 * seed) for seed in range(len(by))]
    results += [result("B", seed, 0.1 * seed + change) for seed, change in enumerate(by)]
    difference = worth_by_scenario(results)["s"]
    assert difference.conclusion == verdict and difference.pairs == len(by)
    assert difference.low <= sum(by) / len(by) <= difference.high


def test_void_and_unpaired_runs_are_left_out_and_all_scenarios_are_combined():
    results = [result(build, seed, 0.5, name) for build in "AB" for seed in range(4) for name in ("s", "t")]
    results += [result("A", 9, 0.1, "t", "void"), result("B", 9, 0.9, "t"), result("A", 8, 0.1, "s")]
    combined = worth_by_scenario(results)
    assert {name: difference.pairs for name, difference in combined.items()} == {"s": 4, "t": 4, "all": 8}


def test_the_interval_is_the_same_each_time_and_narrows_with_pairs():
    values = [0.01 * (number % 7) for number in range(70)]
    assert interval(values) == interval(values)
    few, many = interval(values[:7]), interval(values)
    assert many[1] - many[0] < few[1] - few[0]


def test_a_build_has_the_changed_constants_and_an_invalid_one_gives_a_one_line_error(tmp_path):
    build_dir = make_build(
        ".,policy/outlier_detection.py:MAX_CONSECUTIVE_FAILURES=9.5,policy/slow_start.py:OVERLOAD_SHARE=1.0",
        tmp_path / "a",
    )
    text = "".join(
        (build_dir / "ochreflow/policy" / name).read_text()
        for name in ("outlier_detection.py", "slow_start.py")
    )
    assert "\nMAX_CONSECUTIVE_FAILURES = 9.5\n" in text and "\nOVERLOAD_SHARE = 1.0\n" in text
    for number, (wrong, message) in enumerate(
        [
            (".,STRIKES=9", "expected FILE:NAME=VALUE"),
            (".,policy/none.py:MAX_CONSECUTIVE_FAILURES=9", "the package has no file policy/none.py"),
            (".,policy/balancer.py:NONE=9", "no constant NONE"),
            ("no-such-revision", "no-such-revision"),
        ]
    ):
        with pytest.raises(BuildError) as caught:
            make_build(wrong, tmp_path / f"wrong{number}")
        assert message in str(caught.value) and "\n" not in str(caught.value)


def test_a_revision_is_exported_from_git(tmp_path, monkeypatch):
    repository = tmp_path / "r"
    (repository / "ochreflow").mkdir(parents=True)
    (repository / "ochreflow/a.py").write_text("OLD = 1\n")
    for line in ("init -q", "add .", "-c user.name=n -c user.email=e commit -qm one"):
        subprocess.run(["git", *line.split()], cwd=repository, check=True)
    (repository / "ochreflow/a.py").write_text("NEW = 1\n")
    monkeypatch.setattr("ochreflow.lab.builds.PACKAGE_DIR", repository / "ochreflow")
    assert (make_build("HEAD", tmp_path / "old") / "ochreflow/a.py").read_text() == "OLD = 1\n"
    assert (make_build(".", tmp_path / "new") / "ochreflow/a.py").read_text() == "NEW = 1\n"


def test_the_command_finds_a_worse_build_and_writes_a_report(tmp_path):
    out, html = tmp_path / "r.jsonl", tmp_path / "r.html"
    worse = ".,policy/state_records.py:MAX_UNSENT_SHARE=0.0"  # gives up requests that reached no server
    options = ["--rehearse", "--seeds", "4", "--jobs", "4", "--out", str(out), "--html", str(html)]
    done = command("lab", "compare", ".", worse, "-s", "vanished", "-s", "quiet", *options)
    assert done.returncode == 0, done.stderr
    rows = [line for line in done.stdout.splitlines() if " worth " in line]
    verdicts = {row.split()[0]: " ".join(row.split()[8:]) for row in rows}
    assert verdicts == {"quiet": "no difference shown", "vanished": "worse", "all": "worse"}
    assert len(out.read_text().splitlines()) == 16
    assert all("series" not in json.loads(line) for line in out.read_text().splitlines())
    text = html.read_text()
    assert text.count("data:image/png;base64,") == 4 and 'src="http' not in text and worse in text
    done = command("lab", "compare", ".", ".,x", "--rehearse")
    assert done.returncode == 2 and done.stderr.count("\n") == 1
