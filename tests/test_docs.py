"""The operators' pages quote only what the program logs: event names, fields and texts."""

import ast
import re
from pathlib import Path

import pytest

from ochreflow.core.log import EVENTS
from ochreflow.core.ports import Reason

ROOT = Path(__file__).parent.parent
LEVELS = {"debug", "info", "warning", "error", "exception"}
OPERATING, ON_CALL = ROOT / "docs" / "operating.md", ROOT / "docs" / "on-call.md"
# Other quotes in the two pages: HTTP, commands, configuration and the error line of a failed start.
OTHER_QUOTES = re.compile(
    r"GET /|Connection: |ochreflow |(undrain|lab|--config) |python |pip |"
    r"on = |level = |log\.format = |GW_FD |\[limits\] |ulimit "
)


def events_in_source():
    """Return the level and the fields of each event that the program logs; each event has a single call."""
    events = {}
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
                    assert events.setdefault(event, (level, fields)) == (level, fields), event
    return events


def table_rows(page, header):
    """Yield the cells of each row of the table that begins with the line `header`."""
    lines = page.read_text().splitlines()
    rows = lines[lines.index(header) + 2 :]
    for row in rows:
        if not row.startswith("|"):
            return
        yield [cell.strip() for cell in row.strip("|").split(" | ")]


def quotes(page):
    """Return the texts between backquotes that contain a space, as log texts do and event names do not."""
    text = " ".join(page.read_text().split())
    return [quote for quote in re.findall(r"`([^`]+)`", text) if " " in quote]


def is_log_sentence(quote):
    """Return whether a quote is an event's text or the start of one; words in capitals stand for fields."""
    for text in EVENTS.values():
        pattern = re.sub(r"\\\{\w+\\\}", "(.+)", re.escape(text))
        if (pattern != "(.+)" and re.fullmatch(pattern, quote)) or text.startswith(quote):
            return True
    return False


def test_every_event_has_a_text_and_every_text_an_event():
    assert set(events_in_source()) == set(EVENTS)


def test_the_text_of_an_event_refers_only_to_its_fields():
    for event, (_, fields) in events_in_source().items():
        assert set(re.findall(r"\{(\w+)\}", EVENTS[event])) <= fields, event


def test_the_table_of_events_matches_the_source():
    rows = list(table_rows(OPERATING, "| event | level | fields |"))
    table = {event.strip("`"): (level, set(re.findall(r"`(\w+)`", fields))) for event, level, fields in rows}
    assert len(rows) == len(table)
    assert table == events_in_source()


def test_the_table_of_texts_matches_the_log():
    rows = list(table_rows(ON_CALL, "| event | the line says | what it means, what to do |"))
    assert {event.strip("`"): text.strip("`") for event, text, _ in rows} == EVENTS


@pytest.mark.parametrize("page", [ON_CALL, OPERATING], ids=["on-call", "operating"])
def test_a_quoted_text_is_a_text_of_the_log(page):
    unknown = [
        quote for quote in quotes(page) if not OTHER_QUOTES.match(quote) and not is_log_sentence(quote)
    ]
    assert not unknown


@pytest.mark.parametrize("page", [ON_CALL, OPERATING], ids=["on-call", "operating"])
def test_a_quoted_event_or_field_name_exists(page):
    """A name with an underscore is an event, a field of an event, a key of the configuration, or a reason."""
    fields = set().union(*(fields for _, fields in events_in_source().values()))
    keys = set(re.findall(r"\w+", (ROOT / "deploy" / "ochreflow.toml").read_text()))
    names = set(re.findall(r"`([a-z]+(?:_[a-z]+)+)`", page.read_text()))
    assert names <= set(EVENTS) | fields | keys | {reason.value for reason in Reason}
