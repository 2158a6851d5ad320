"""The benchmarks import this checkout and the names that they use; they are not run here."""

import subprocess
import sys
from pathlib import Path

import pytest

BENCHMARKS = Path(__file__).parent.parent / "benchmarks"
NAMES = sorted(path.stem for path in BENCHMARKS.glob("*.py"))


def run_python(code, directory):
    """Run code like a benchmark: with the directory of the benchmarks first on the import path."""
    return subprocess.run(
        [sys.executable, "-c", f"import sys; sys.path[0] = {str(BENCHMARKS)!r}; {code}"],
        cwd=directory,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize("name", NAMES)
def test_benchmark_imports_this_checkout_from_any_directory(tmp_path, name):
    completed = run_python(f"import {name}, ochreflow; print(ochreflow.__file__)", tmp_path)
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.strip() == str(BENCHMARKS.parent / "ochreflow" / "__init__.py")


def test_every_degraded_build_can_be_created(tmp_path):
    completed = run_python(
        f"import pathlib, worse_builds; worse_builds.make_builds(pathlib.Path({str(tmp_path)!r}))", tmp_path
    )
    assert completed.returncode == 0, completed.stderr
    assert len(list(tmp_path.iterdir())) == 4
