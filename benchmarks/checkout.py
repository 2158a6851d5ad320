"""Puts this checkout first on the import path; benchmarks then measure it even if a build is installed."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

sys.path.insert(0, str(ROOT))


@contextmanager
def checkout_of(revision: str) -> Iterator[Path]:
    """Check out a git revision into a directory of its own, which is removed in the end."""
    with tempfile.TemporaryDirectory() as temporary:
        path = Path(temporary) / "before"
        subprocess.run(
            ["git", "worktree", "add", "-q", "--detach", str(path), revision], cwd=ROOT, check=True
        )
        try:
            yield path
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(path)], cwd=ROOT, check=True)


@contextmanager
def checkouts(before: str | None) -> Iterator[dict[str, Path]]:
    """Yield this checkout as "after", and that of the revision `before`, if any, as "before"."""
    if before is None:
        yield {"after": ROOT}
        return
    with checkout_of(before) as path:
        yield {"before": path, "after": ROOT}
