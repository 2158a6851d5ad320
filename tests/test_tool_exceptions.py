"""Each suppression of a ruff or mypy check names the rule and a reason."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
SUPPRESSION = re.compile(r"# (?:noqa|type: ignore)\b.*")
WITH_REASON = re.compile(r"# (?:noqa: [A-Z]+\d+|type: ignore\[[a-z-]+\]) +(?:--? |# )\S+ \S+")


def suppressions():
    """Yield place and text of each suppression in all source files but this one."""
    for directory in ("ochreflow", "tests", "benchmarks"):
        for path in sorted((ROOT / directory).rglob("*.py")):
            if path == Path(__file__):
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if found := SUPPRESSION.search(line):
                    yield f"{path.relative_to(ROOT)}:{number}", found[0]


def test_every_suppression_names_its_rule_and_a_reason():
    found = dict(suppressions())
    assert found, "no suppression was found: the pattern is out of date"
    assert {place: text for place, text in found.items() if not WITH_REASON.match(text)} == {}
