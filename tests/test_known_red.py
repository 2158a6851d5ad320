"""KNOWN-RED.txt: what CI passes over, and every way in which the list itself fails it; on a small project."""

import os
import re
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """\
import pytest

def test_green():
    pass

{more}
"""
RED = "tests/test_small.py::test_red"
FOUR = "".join(f"def test_red{n}():\n    assert False, n\n" for n in range(4))
CASES = '@pytest.mark.parametrize("case", ["a", "b | c"])\ndef test_case(case):\n    assert case == "a"\n'


GROUPED = (
    "\npytestmark = pytest.mark.xdist_group('machine')\n"  # in a test file: its tests run one after the other
)


def pytest_on(folder, listed, more="", *arguments, workers=0):
    """Run the whole suite of a project that has this project's settings, conftest.py and plugin."""
    tests = folder / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(ROOT / "tests" / name, tests)
    shutil.copy(ROOT / "pyproject.toml", folder)
    (tests / "test_small.py").write_text(TESTS.format(more=more))
    (tests / "test_other.py").write_text("def test_of_another_file():\n    pass\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-n", str(workers), *arguments],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
        env={
            **os.environ,
            "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1",
        },  # nothing that is installed beside pytest bears on it
        check=False,
    )


def closing(done):
    """What pytest's last line counts, and the exit code."""
    last = done.stdout.splitlines()[-1]
    counts = re.fullmatch(r"(?:=+ )?(\d.*?) in [\d.]+s(?: =+)?", last)
    assert counts, done.stdout + done.stderr
    return counts[1], done.returncode


RED_TEST = "def test_red():\n    assert False\n"
GREEN_TEST = "def test_red():\n    pass\n"


def test_a_listed_failure_is_passed_over_and_printed(tmp_path):
    line = f"{RED} | the widget is late | issue 7"
    done = pytest_on(tmp_path, f"# why\n\n{line}\n", RED_TEST)
    assert closing(done) == ("3 passed, 1 xfailed", 0)
    assert line in done.stdout.splitlines()


@pytest.mark.parametrize("listed", [None, "", "# nothing | of | this\n\n"])
def test_an_empty_list_changes_nothing(tmp_path, listed):
    done = pytest_on(tmp_path, listed)
    assert closing(done) == ("2 passed", 0) and "known red" not in done.stdout


SLOW = f"{RED} | slow | issue 7\n"
FAILING = {  # what is listed, what stands in the test file, what the run counts, and what it says
    "not listed": ("", RED_TEST, "1 failed, 2 passed", "assert False"),
    "another fails too": (
        SLOW,
        RED_TEST + "def test_other():\n    assert 0\n",
        "1 failed, 3 passed, 1 xfailed",
        "assert 0",
    ),
    "it passes": (SLOW, GREEN_TEST, "1 failed, 3 passed", "XPASS(strict)"),
    "no cause": (f"{RED} | | issue 7\n", RED_TEST, "2 failed, 2 passed", "line 1: no cause"),
    "no issue": (f"{RED} | slow |\n", RED_TEST, "2 failed, 2 passed", "line 1: no issue"),
    "two fields": (f"{RED} | slow\n", RED_TEST, "2 failed, 2 passed", "line 1: no issue"),
    "one field": (f"{RED}\n", RED_TEST, "2 failed, 2 passed", "line 1: no cause; no issue"),
    "no test": ("| slow | issue 7\n", "", "1 failed, 2 passed", "line 1: no test"),
    "names none": (
        "tests/test_small.py::test_gone | slow | issue 7\n",
        "",
        "1 failed, 2 passed",
        "names no collected test",
    ),
    "one entry for all cases": (
        "tests/test_small.py::test_case | slow | issue 7\n",
        CASES,
        "2 failed, 3 passed",
        "names no collected test",
    ),
    "a fourth": (
        "".join(f"tests/test_small.py::test_red{n} | slow | issue 7\n" for n in range(4)),
        FOUR,
        "2 failed, 5 passed, 3 xfailed",
        "line 4: entry 4 of 3 at most",
    ),
    "twice": (SLOW * 2, RED_TEST, "1 failed, 3 passed, 1 xfailed", "line 2: listed before"),
    "skipped": (SLOW, "def test_red():\n    pytest.skip()\n", "1 failed, 3 passed", "but skipped"),
    "marked in place": (
        "",
        "@pytest.mark.xfail\n" + RED_TEST,
        "1 failed, 2 passed",
        "is not in KNOWN-RED.txt",
    ),
    "forgiven from within": (
        "",
        "def test_red():\n    pytest.xfail('not today')\n",
        "1 failed, 2 passed",
        "is not in KNOWN-RED.txt",
    ),
}


def check_failing(name, folder, more="", workers=0):
    listed, tests, counts, said = FAILING[name]
    done = pytest_on(folder, listed, tests + more, workers=workers)
    assert closing(done) == (counts, 1)
    assert said in done.stdout


@pytest.mark.parametrize("name", FAILING)
def test_what_fails_the_run(tmp_path, name):
    check_failing(name, tmp_path)


@pytest.mark.parametrize("name", FAILING)
def test_what_fails_the_run_fails_it_with_workers_and_groups(tmp_path, name):
    check_failing(name, tmp_path, GROUPED, workers=2)


@pytest.mark.parametrize(("more", "workers"), [("", 2), (GROUPED, 2), (GROUPED, 0)])
def test_a_listed_failure_is_passed_over_and_printed_with_workers_and_groups(tmp_path, more, workers):
    line = f"{RED} | the widget is late | issue 7"
    done = pytest_on(tmp_path, f"{line}\n", RED_TEST + more, workers=workers)
    assert closing(done) == ("3 passed, 1 xfailed", 0)
    assert done.stdout.splitlines().count(line) == 1


def test_a_listed_test_that_ends_its_worker_fails_the_run(tmp_path):
    done = pytest_on(tmp_path, SLOW, "def test_red():\n    import os\n    os._exit(1)\n", workers=2)
    assert closing(done) == ("1 failed, 3 passed", 1)
    assert f"worker 'gw0' crashed while running '{RED}'" in re.sub(r"gw\d", "gw0", done.stdout)


def test_an_entry_is_one_case_and_its_id_may_hold_what_separates(tmp_path):
    done = pytest_on(tmp_path, "tests/test_small.py::test_case[b | c] | slow | issue 7\n", CASES)
    assert closing(done) == ("4 passed, 1 xfailed", 0)


def test_a_listed_test_whose_setup_fails_is_passed_over(tmp_path):
    more = "@pytest.fixture\ndef broken():\n    assert False\n\ndef test_red(broken):\n    pass\n"
    assert closing(pytest_on(tmp_path, SLOW, more)) == ("3 passed, 1 xfailed", 0)


def test_a_run_of_one_file_asks_nothing_of_entries_of_others(tmp_path):
    done = pytest_on(tmp_path, SLOW, RED_TEST, "tests/test_other.py")
    assert closing(done) == ("1 passed", 0) and "known red" not in done.stdout


def test_ci_and_make_run_the_whole_suite_alike():
    command = ".venv/bin/python -m pytest"
    ci = (ROOT / ".ci" / "run").read_text().splitlines()
    assert [line for line in ci if "pytest" in line] == [command] and "set -euo pipefail" in ci
    recipes = (ROOT / "Makefile").read_text()
    assert "\ntest: .venv/test\n\t$(RUN) -m pytest\n" in recipes and "\nRUN = .venv/bin/python\n" in recipes
    options = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["pytest"]["ini_options"]
    assert options["testpaths"] == ["tests", "KNOWN-RED.txt"]
    assert re.search(r" -p xdist -n \d+ --dist loadgroup --max-worker-restart 0$", options["addopts"])
