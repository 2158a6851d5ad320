"""Each exception from a check of ruff or mypy names the rule and says why it is made."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
EXCEPTION = re.compile(r"# (?:noqa|type: ignore)\b.*")
WITH_REASON = re.compile(r"# (?:noqa: [A-Z]+\d+|type: ignore\[[a-z-]+\]) +(?:--? |# )\S+ \S+")


def exceptions():
    """All lines of the program, the tests and the benchmarks that make an exception, but for this file's."""
    for folder in ("ochreflow", "tests", "benchmarks"):
        for path in sorted((ROOT / folder).rglob("*.py")):
            if path == Path(__file__):
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if found := EXCEPTION.search(line):
                    yield f"{path.relative_to(ROOT)}:{number}", found[0]


def test_every_exception_names_its_rule_and_its_reason():
    found = dict(exceptions())
    assert found, "no exception was found: the pattern is out of date"
    assert {place: text for place, text in found.items() if not WITH_REASON.match(text)} == {}
