"""The operators' pages quote only what the program writes: event names, fields and sentences of its log."""

import ast
import re
from pathlib import Path

import pytest

from ochreflow.core.log import EVENTS
from ochreflow.core.ports import Reason

ROOT = Path(__file__).parent.parent
LEVELS = {"debug", "info", "warning", "error", "exception"}
OPERATING, ON_CALL = ROOT / "docs" / "operating.md", ROOT / "docs" / "on-call.md"
# What the two pages quote beside the log: HTTP, commands, configuration and the one line of a failed start.
OTHER_QUOTES = re.compile(
    r"GET /|Connection: |ochreflow |(undrain|lab|--config) |python |pip |"
    r"on = |level = |log\.format = |GW_FD |\[limits\] |ulimit "
)


def events_in_source():
    """Each event that the program writes, with its level and the fields of its one call."""
    found = {}
    for path in sorted((ROOT / "ochreflow").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Call(
                    func=ast.Attribute(value=ast.Name(id="log"), attr=level),
                    args=[ast.Constant(value=str(event)), *_],
                ) if level in LEVELS:
                    fields = {keyword.arg for keyword in node.keywords}
                    if level == "exception":
                        level, fields = "error", fields | {"trace"}
                    assert found.setdefault(event, (level, fields)) == (level, fields), event
    return found


def table_rows(page, head):
    """The cells of the table that begins with this line."""
    lines = page.read_text().splitlines()
    rows = lines[lines.index(head) + 2 :]
    for row in rows:
        if not row.startswith("|"):
            return
        yield [cell.strip() for cell in row.strip("|").split(" | ")]


def quotes(page):
    """What the page quotes that has a space in it, as a sentence of the log has."""
    text = " ".join(page.read_text().split())
    return [quote for quote in re.findall(r"`([^`]+)`", text) if " " in quote]


def is_log_sentence(quote):
    """Whether an event's text can read so or begin so. Words in capitals stand for fields."""
    for text in EVENTS.values():
        pattern = re.sub(r"\\\{\w+\\\}", "(.+)", re.escape(text))
        if (pattern != "(.+)" and re.fullmatch(pattern, quote)) or text.startswith(quote):
            return True
    return False


def test_every_event_has_its_text_and_every_text_its_event():
    assert set(events_in_source()) == set(EVENTS)


def test_the_text_of_an_event_names_only_fields_that_it_has():
    for event, (_, fields) in events_in_source().items():
        assert set(re.findall(r"\{(\w+)\}", EVENTS[event])) <= fields, event


def test_the_table_of_events_is_what_the_source_writes():
    rows = list(table_rows(OPERATING, "| event | level | fields |"))
    table = {event.strip("`"): (level, set(re.findall(r"`(\w+)`", fields))) for event, level, fields in rows}
    assert len(rows) == len(table)
    assert table == events_in_source()


def test_the_table_of_texts_is_what_the_program_writes():
    rows = list(table_rows(ON_CALL, "| event | the line says | what it means, what to do |"))
    assert {event.strip("`"): text.strip("`") for event, text, _ in rows} == EVENTS


@pytest.mark.parametrize("page", [ON_CALL, OPERATING], ids=["on-call", "operating"])
def test_a_quoted_sentence_is_one_of_the_log(page):
    unknown = [
        quote for quote in quotes(page) if not OTHER_QUOTES.match(quote) and not is_log_sentence(quote)
    ]
    assert not unknown


@pytest.mark.parametrize("page", [ON_CALL, OPERATING], ids=["on-call", "operating"])
def test_a_quoted_name_of_an_event_exists(page):
    """A name with an underline is an event, a field of one, or a key of a file named on the page."""
    fields = set().union(*(fields for _, fields in events_in_source().values()))
    keys = set(re.findall(r"\w+", (ROOT / "deploy" / "ochreflow.toml").read_text()))
    names = set(re.findall(r"`([a-z]+(?:_[a-z]+)+)`", page.read_text()))
    assert names <= set(EVENTS) | fields | keys | {reason.value for reason in Reason}
