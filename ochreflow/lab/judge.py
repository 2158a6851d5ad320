"""Judges a run by the event logs of clients, nodes and the directory, without knowledge of the sidecar.

Each finding names the request or node, the times and the evidence. A rule without a finding was kept.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .event_log import ClientOutcome, Event, EventKind, RunEvents
from .latency import LatencyHistogram

NS_PER_S = 1_000_000_000
SOCKET_SLACK_S = 0.05  # added to each time limit, for delays of real sockets
DRAIN_GRACE_S = 2.5  # a node must get no new request this long after it is reported draining or removed
RULES = {
    "one final answer": "each request got exactly one response before its client gave up",
    "no repeat beyond the class": "no request ran twice whose class forbids it",
    "drains kept": f"nothing new reached a node {DRAIN_GRACE_S:g} s after it was reported draining or gone",
    "no cold node pushed over": "no node collapsed while it warmed up",
    "true answers": "each served body was made by a node for that request",
    "within its means": "no sidecar exceeded its limits of memory and descriptors",
}
REACHED_NODE = (EventKind.ACCEPTED, EventKind.DEDUPLICATED, EventKind.REJECTED)


@dataclass(slots=True)
class Finding:
    """A violation of a rule, with its evidence."""

    rule: str  # one of RULES
    text: str


@dataclass(slots=True)
class Report:
    """The figures of a run and the violations of rules."""

    findings: list[Finding] = field(default_factory=list)
    by_class: dict[str, Counter[str]] = field(default_factory=dict)  # numbers of requests and of outcomes
    latency: dict[str, LatencyHistogram] = field(default_factory=dict)  # latency of served requests, by class
    # By class and by the request id of the first attempt: seconds until it was served; None: not served.
    logical_requests: dict[str, dict[str, float | None]] = field(default_factory=dict)
    attempts: Counter[str] = field(default_factory=Counter)  # requests that reached nodes, by class
    by_node: dict[str, Counter[str]] = field(default_factory=dict)  # numbers of events
    peak_usage: dict[tuple[str, str], float] = field(default_factory=dict)  # by sidecar and resource

    def finding_texts(self, rule: str) -> list[str]:
        """Return the texts of the findings of a rule."""
        return [finding.text for finding in self.findings if finding.rule == rule]


def judge(
    run: RunEvents, non_idempotent: Iterable[str], resource_limits: Mapping[str, float] | None = None
) -> Report:
    """Judge a run by its event logs.

    `non_idempotent` names the classes whose work must not run twice, including keyed ones, since a node
    records the duplicates that it drops. `resource_limits` are for one sidecar, "memory_mb" and "sockets".
    """
    report = Report()
    requests: dict[str, Event] = {}
    responses: dict[str, list[Event]] = defaultdict(list)
    for events in run.clients:
        for event in events:
            if event["what"] == EventKind.REQUEST_SENT:
                requests[event["id"]] = event
            else:
                responses[event["id"]].append(event)
    _judge_responses(report, requests, responses, _downtimes(run.runner))
    _judge_duplicate_executions(report, run.nodes, set(non_idempotent))
    _judge_drains(report, run.nodes, _readiness(run.directory))
    _judge_collapses(report, run.nodes)
    _judge_bodies(report, responses, run.nodes)
    _judge_resources(report, run.runner, resource_limits or {})
    return report


def _downtimes(runner_events: list[Event]) -> list[tuple[int, int]]:
    """Return the periods from the end of a sidecar to its restart, plus a slack for its clients to notice."""
    spans: list[tuple[int, int]] = []
    down: dict[str, int] = {}
    for event in runner_events:
        killed = event["what"] in (EventKind.PROCESS_KILLED, EventKind.PROCESS_TERMINATED)
        if killed and event["name"].startswith("sidecar"):
            down[event["name"]] = event["at"]
        elif event["what"] == EventKind.PROCESS_STARTED and event["name"] in down:
            spans.append((down.pop(event["name"]), event["at"] + int(SOCKET_SLACK_S * NS_PER_S)))
    return spans


def _judge_responses(
    report: Report,
    requests: dict[str, Event],
    responses: dict[str, list[Event]],
    downtimes: list[tuple[int, int]],
) -> None:
    """Check that each request gets exactly one response in time, unless its sidecar was down."""
    for request_id, request in requests.items():
        counts = report.by_class.setdefault(request["cls"], Counter())
        counts[EventKind.REQUEST_SENT] += 1
        logical_requests = report.logical_requests.setdefault(request["cls"], {})
        logical_requests.setdefault(request.get("first", request_id), None)
        recorded = responses.get(request_id, [])
        if len(recorded) != 1 or recorded[0]["outcome"] == ClientOutcome.UNANSWERED:
            counts[ClientOutcome.UNANSWERED] += 1
            if len(recorded) == 1 and any(start <= recorded[0]["at"] <= end for start, end in downtimes):
                continue  # no sidecar ran that could have answered
            text = f"request {request_id}: {len(recorded)} answers recorded, expected one that is not lost"
            report.findings.append(Finding("one final answer", text))
        else:
            _judge_response(report, request_id, request, recorded[0])


def _judge_response(report: Report, request_id: str, request: Event, response: Event) -> None:
    class_name, outcome = request["cls"], response["outcome"]
    logical_requests = report.logical_requests[class_name]
    first_id = request.get("first", request_id)
    report.by_class[class_name][outcome] += 1
    if outcome == ClientOutcome.ABANDONED:  # the client needs no response any more
        logical_requests.pop(first_id, None)
        return
    waited_s = (response["at"] - request["at"]) / NS_PER_S
    if waited_s > request["deadline"] + request.get("slack", 0.0) + SOCKET_SLACK_S:
        text = f"request {request_id}: {outcome} after {waited_s:.3f} of {request['deadline']:g} s"
        report.findings.append(Finding("one final answer", text))
    if outcome == ClientOutcome.SERVED:
        report.latency.setdefault(class_name, LatencyHistogram()).add(response["took"])
        if logical_requests.get(first_id) is None:
            logical_requests[first_id] = response["took"]


def _judge_duplicate_executions(
    report: Report, nodes: dict[str, list[Event]], non_idempotent: set[str]
) -> None:
    """Check that nodes accept non-idempotent requests once; count the attempts that reached nodes."""
    accepted: dict[str, list[str]] = defaultdict(list)
    for name, events in nodes.items():
        counts = report.by_node.setdefault(name, Counter())
        for event in events:
            counts[event["what"]] += 1
            if event["what"] in REACHED_NODE:
                report.attempts[event["cls"]] += 1
            if event["what"] == EventKind.ACCEPTED and event["cls"] in non_idempotent:
                accepted[event["id"]].append(f"{name} at {event['at']}")
    for request_id, acceptances in accepted.items():
        if len(acceptances) > 1:
            text = f"request {request_id} was accepted {len(acceptances)} times: {', '.join(acceptances)}"
            report.findings.append(Finding("no repeat beyond the class", text))


def _readiness(directory: Iterable[Event]) -> dict[str, list[tuple[int, bool]]]:
    """Return for each node the times at which the directory changed its readiness, with the new value."""
    changes: dict[str, list[tuple[int, bool]]] = defaultdict(list)
    for event in directory:
        if event["what"] != EventKind.NOTIFIED:
            continue
        entries = dict(event["entries"])
        if event.get("whole"):  # nodes that are absent from a complete list are removed
            entries = {**dict.fromkeys(changes, "DELETED"), **entries}
        for name, status in entries.items():
            ready = status == "SERVING"
            if not changes[name] or changes[name][-1][1] != ready:
                changes[name].append((event["at"], ready))
    return changes


def _judge_drains(
    report: Report, nodes: dict[str, list[Event]], readiness: dict[str, list[tuple[int, bool]]]
) -> None:
    """Check that no new request reaches a node DRAIN_GRACE_S after it was reported draining or removed."""
    for name, changes in readiness.items():
        for event in nodes.get(name, []):
            if event["what"] not in REACHED_NODE:
                continue
            earlier = [change for change in changes if change[0] <= event["at"]]
            if not earlier or earlier[-1][1]:
                continue
            late_s = (event["at"] - earlier[-1][0]) / NS_PER_S
            if late_s > DRAIN_GRACE_S + SOCKET_SLACK_S:
                text = f"{name} got request {event['id']} {late_s:.3f} s after the directory reported its end"
                report.findings.append(Finding("drains kept", text))


def _judge_collapses(report: Report, nodes: dict[str, list[Event]]) -> None:
    """Check that no node collapses while it warms up."""
    for name, events in nodes.items():
        for event in events:
            if event["what"] == EventKind.COLLAPSED:
                text = (
                    f"{name} collapsed: {event['offered']:.2f} s of work came, "
                    f"{event['bearable']:.2f} s bearable"
                )
                report.findings.append(Finding("no cold node pushed over", text))


def _judge_bodies(report: Report, responses: dict[str, list[Event]], nodes: dict[str, list[Event]]) -> None:
    """Check that each served body was made by a node for that request."""
    produced_bodies = {
        f"{name}:{event['id']}"
        for name, events in nodes.items()
        for event in events
        if event["what"] in (EventKind.COMPLETED, EventKind.DEDUPLICATED)
    }
    for request_id, recorded in responses.items():
        for response in recorded:
            if response["outcome"] != ClientOutcome.SERVED:
                continue
            body = response["body"]
            if body not in produced_bodies or not body.endswith(f":{request_id}"):
                text = f"request {request_id} was served {body!r}, which no node made for it"
                report.findings.append(Finding("true answers", text))


def _judge_resources(
    report: Report, runner_events: list[Event], resource_limits: Mapping[str, float]
) -> None:
    """Check the resource limits of each sidecar; add one finding for each exceeded limit, at the peak."""
    peaks: dict[tuple[str, str], Event] = {}
    for event in runner_events:
        for resource in resource_limits if event["what"] == EventKind.RESOURCES_USED else ():
            key = event["name"], resource
            if key not in peaks or event[resource] > peaks[key][resource]:
                peaks[key] = event
    for (name, resource), event in peaks.items():
        report.peak_usage[name, resource] = event[resource]
        if event[resource] > resource_limits[resource]:
            used, limit = event[resource], resource_limits[resource]
            text = f"{name} used {resource} {used:g} with a limit of {limit:g} at {event['at']}"
            report.findings.append(Finding("within its means", text))
