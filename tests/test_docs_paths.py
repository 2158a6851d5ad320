"""Files that the pages refer to exist, and terms in the glossary are names in the code."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "README.md")
PATH = re.compile(r"`((?:ochreflow|docs|tests|deploy|benchmarks)/[\w./-]*)`")


@pytest.mark.parametrize("page", PAGES)
def test_files_that_a_page_refers_to_exist(page):
    named = set(PATH.findall((ROOT / page).read_text()))
    assert named and sorted(path for path in named if not (ROOT / path).exists()) == []


def test_terms_of_the_glossary_are_names_in_the_code():
    text = "\n".join(path.read_text() for path in (ROOT / "ochreflow").rglob("*.py"))
    names = set(re.findall(r"\w+", text))
    rows = [line for line in (ROOT / "docs/GLOSSARY.md").read_text().splitlines() if line.startswith("| ")]
    terms = {term for row in rows for term in re.findall(r"`(\w+)`", row.split("|")[2])}
    assert terms and sorted(terms - names) == []
