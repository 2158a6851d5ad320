"""Judges a run by what clients, nodes and the directory wrote down; it knows nothing of the sidecar.

Each finding names the request or node, times and evidence. A rule with no finding held.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .event_log import Event
from .latency import Latency

SECOND = 1_000_000_000
SLACK = 0.05  # seconds that each limit grows by on real sockets
GRACE = 2.5  # seconds after which a server that drains or is gone gets nothing new
RULES = {
    "one final answer": "each request got exactly one answer, before its client gave up",
    "no repeat beyond the class": "no work ran again that may not",
    "drains kept": f"nothing new reached a draining node {GRACE:g} s after the word of it",
    "no cold node pushed over": "no node fell while it warmed up",
    "true answers": "what was served is what a node made for that request",
    "within its means": "no sidecar held more memory or descriptors than it was given",
}


@dataclass(slots=True)
class Finding:
    rule: str
    text: str


@dataclass(slots=True)
class Report:
    """What happened, and what was wrong with it."""

    findings: list[Finding] = field(default_factory=list)
    by_class: dict[str, Counter[str]] = field(default_factory=dict)
    latency: dict[str, Latency] = field(default_factory=dict)  # of what was served
    matters: dict[str, dict[str, float | None]] = field(default_factory=dict)
    # by class: what a client wanted, by its first try; the seconds until it was served, None if it was not
    attempts: Counter[str] = field(default_factory=Counter)  # by class: requests that reached nodes
    by_node: dict[str, Counter[str]] = field(default_factory=dict)
    used: dict[tuple[str, str], float] = field(default_factory=dict)  # the most, by sidecar and means

    def broken(self, rule: str) -> list[str]:
        return [finding.text for finding in self.findings if finding.rule == rule]


def judge(
    clients: Iterable[Iterable[Event]],
    nodes: Mapping[str, Iterable[Event]],
    directory: Iterable[Event],
    unsafe: Iterable[str],
    stage: Iterable[Event] = (),
    means: Mapping[str, float] | None = None,
) -> Report:
    """Judge a run by its event logs.

    `unsafe` names the classes whose work must not run twice, keyed ones too: a node that drops a repeat
    says so itself. `stage` tells of sidecars that were killed on purpose (what was open then is excused) and
    what they used; `means` is what one may use, "memory_mb" and "sockets".
    """
    report = Report()
    asked: dict[str, Event] = {}
    answers: dict[str, list[Event]] = defaultdict(list)
    for events in clients:
        for event in events:
            if event["what"] == "asked":
                asked[event["id"]] = event
            else:
                answers[event["id"]].append(event)
    seen = {name: list(events) for name, events in nodes.items()}
    told = list(stage)
    _answers(report, asked, answers, _kills(told))
    _repeats(report, seen, set(unsafe))
    _drains(report, seen, directory)
    _cold(report, seen)
    _truth(report, answers, seen)
    _means(report, told, means or {})
    return report


def _kills(stage: list[Event]) -> list[tuple[int, int]]:
    """The times in which a sidecar was killed and not yet back, with a moment for its clients to see it."""
    spans: list[tuple[int, int]] = []
    down: dict[str, int] = {}
    for event in stage:
        if event["what"] in ("killed", "ended") and event["name"].startswith("sidecar"):
            down[event["name"]] = event["at"]
        elif event["what"] == "started" and event["name"] in down:
            spans.append((down.pop(event["name"]), event["at"] + int(SLACK * SECOND)))
    return spans


def _answers(
    report: Report,
    asked: dict[str, Event],
    answers: dict[str, list[Event]],
    kills: list[tuple[int, int]],
) -> None:
    for ident, request in asked.items():
        counts = report.by_class.setdefault(request["cls"], Counter())
        counts["asked"] += 1
        matters = report.matters.setdefault(request["cls"], {})
        first = matters.setdefault(request.get("first", ident), None)
        got = answers.get(ident, [])
        if len(got) != 1 or got[0]["outcome"] == "lost":
            counts["lost"] += 1
            if len(got) == 1 and any(begin <= got[0]["at"] <= end for begin, end in kills):
                continue  # no sidecar ran that could have answered
            report.findings.append(Finding("one final answer", f"request {ident}: {len(got)} answers, lost"))
            continue
        answer = got[0]
        counts[answer["outcome"]] += 1
        if answer["outcome"] == "left":  # it wants nothing any more
            matters.pop(request.get("first", ident), None)
            continue
        waited = (answer["at"] - request["at"]) / SECOND
        if waited > request["deadline"] + request.get("slack", 0.0) + SLACK:
            text = f"request {ident}: {answer['outcome']} after {waited:.3f} of {request['deadline']:g} s"
            report.findings.append(Finding("one final answer", text))
        if answer["outcome"] == "served":
            report.latency.setdefault(request["cls"], Latency()).add(answer["took"])
            if first is None:
                matters[request.get("first", ident)] = answer["took"]


def _repeats(report: Report, seen: dict[str, list[Event]], unsafe: set[str]) -> None:
    runs: dict[str, list[str]] = defaultdict(list)
    for name, events in seen.items():
        counts = report.by_node.setdefault(name, Counter())
        for event in events:
            counts[event["what"]] += 1
            if event["what"] in ("taken", "dropped", "turned_away"):
                report.attempts[event["cls"]] += 1
            if event["what"] == "taken" and event["cls"] in unsafe:
                runs[event["id"]].append(f"{name} at {event['at']}")
    for ident, places in runs.items():
        if len(places) > 1:
            text = f"request {ident} was taken {len(places)} times: {', '.join(places)}"
            report.findings.append(Finding("no repeat beyond the class", text))


def _drains(report: Report, seen: dict[str, list[Event]], directory: Iterable[Event]) -> None:
    changes: dict[str, list[tuple[int, bool]]] = defaultdict(list)  # when each was said to be ready, or not
    for event in directory:
        if event["what"] != "told":
            continue
        entries = dict(event["entries"])
        if event.get("whole"):  # what is absent from a whole list is gone
            entries = {**dict.fromkeys(changes, "DELETED"), **entries}
        for name, status in entries.items():
            ready = status == "SERVING"
            if not changes[name] or changes[name][-1][1] != ready:
                changes[name].append((event["at"], ready))
    for name, told in changes.items():
        for event in seen.get(name, []):
            if event["what"] not in ("taken", "dropped", "turned_away"):
                continue
            before = [change for change in told if change[0] <= event["at"]]
            if not before or before[-1][1]:
                continue
            late = (event["at"] - before[-1][0]) / SECOND
            if late > GRACE + SLACK:
                text = f"{name} got request {event['id']} {late:.3f} s after the word of its end"
                report.findings.append(Finding("drains kept", text))


def _cold(report: Report, seen: dict[str, list[Event]]) -> None:
    for name, events in seen.items():
        for event in events:
            if event["what"] == "fell":
                text = f"{name} fell: {event['offered']:.2f} s of work came, {event['bearable']:.2f} could be"
                report.findings.append(Finding("no cold node pushed over", text))


def _truth(report: Report, answers: dict[str, list[Event]], seen: dict[str, list[Event]]) -> None:
    made = {
        f"{name}:{event['id']}"
        for name, events in seen.items()
        for event in events
        if event["what"] in ("ran", "dropped")
    }
    for ident, got in answers.items():
        for answer in got:
            if answer["outcome"] != "served":
                continue
            if answer["body"] not in made or not answer["body"].endswith(f":{ident}"):
                text = f"request {ident} was served {answer['body']!r}, which no node made for it"
                report.findings.append(Finding("true answers", text))


def _means(report: Report, stage: list[Event], means: Mapping[str, float]) -> None:
    """The most that each sidecar used; one finding for each bound that it went beyond."""
    most: dict[tuple[str, str], Event] = {}
    for event in stage:
        for what in means if event["what"] == "used" else ():
            key = event["name"], what
            if key not in most or event[what] > most[key][what]:
                most[key] = event
    for (name, what), event in most.items():
        report.used[name, what] = event[what]
        if event[what] > means[what]:
            text = f"{name} held {what} {event[what]:g} of {means[what]:g} at {event['at']}"
            report.findings.append(Finding("within its means", text))
