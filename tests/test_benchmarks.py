"""The benchmarks find this checkout and the names that they use; none of them is run here."""

import subprocess
import sys
from pathlib import Path

import pytest

BENCHMARKS = Path(__file__).parent.parent / "benchmarks"
NAMES = sorted(path.stem for path in BENCHMARKS.glob("*.py"))


def python(code, folder):
    """Run code as a benchmark is run: with the directory of the benchmarks first on the import path."""
    return subprocess.run(
        [sys.executable, "-c", f"import sys; sys.path[0] = {str(BENCHMARKS)!r}; {code}"],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize("name", NAMES)
def test_a_benchmark_finds_the_program_from_anywhere(tmp_path, name):
    done = python(f"import {name}, ochreflow; print(ochreflow.__file__)", tmp_path)
    assert done.returncode == 0, done.stderr
    assert done.stdout.strip() == str(BENCHMARKS.parent / "ochreflow" / "__init__.py")


def test_every_worse_build_can_be_made(tmp_path):
    done = python(
        f"import pathlib, worse_builds as w; w.make_builds(pathlib.Path({str(tmp_path)!r}))", tmp_path
    )
    assert done.returncode == 0, done.stderr
    assert len(list(tmp_path.iterdir())) == 4
