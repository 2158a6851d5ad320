"""Puts this checkout first on the import path; benchmarks then measure it even if a build is installed."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

sys.path.insert(0, str(ROOT))
