"""The fake servers inject the faults that they are ordered to, and the judge reports each violation."""

import asyncio
import json
import re
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest
from net_helpers import HOST, WAIT_TIMEOUT_S, FakePeer, http_response, read_message, run, send_request

from ochreflow.lab.arrivals import ClientLoad, ClientProfile, Idempotency, RequestClass
from ochreflow.lab.event_log import EventLog, RunEvents, read_events
from ochreflow.lab.fake_directory import FakeDirectory
from ochreflow.lab.fake_node import FakeNode
from ochreflow.lab.fake_server import open_server
from ochreflow.lab.judge import NS_PER_S, RULES, judge
from ochreflow.lab.load_generator import LoadGenerator
from ochreflow.lab.node_messages import NodeProfile
from ochreflow.lab.node_model import DeduplicationGroup

pytestmark = pytest.mark.xdist_group("real-time")

ROOT = Path(__file__).parent.parent


def request(request_id, class_name="assign", *lines):
    head = [f"POST /{class_name}/x HTTP/1.1", f"X-Request-Id: {request_id}", "Content-Length: 0", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def control_order(**fields):
    body = json.dumps(fields).encode()
    return b"POST /-/lab HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def run_with_node(tmp_path, steps, **profile):
    """Call `steps` with a running fake node and its port; return the events that the node recorded."""
    path = tmp_path / "node.jsonl"

    async def scenario():
        loop = asyncio.get_running_loop()
        node = FakeNode(
            NodeProfile("n", mean_work_s={"assign": 0.01, "exposure": 0.01}, **profile),
            EventLog(path),
            1,
            loop,
        )
        server = await loop.create_server(node.service.connection, HOST, 0)
        await steps(node, server.sockets[0].getsockname()[1])
        node.event_log.close()

    run(scenario())
    return list(read_events(path))


def count_kinds(events):
    return Counter(event["what"] for event in events)


def test_a_node_runs_requests_drops_duplicates_and_rejects_beyond_its_capacity(tmp_path):
    async def steps(node, port):
        assert (await send_request(port, request("a"))).body == b"n:a"
        token = "Idempotency-Key: t"
        assert (await send_request(port, request("b", "exposure", token))).body == b"n:b"
        assert (await send_request(port, request("b", "exposure", token))).body == b"n:b"
        assert (await send_request(port, b"GET /assign HTTP/1.1\r\n\r\n")).code == 404
        node.model.faults.slowdown = 20.0
        responses = await asyncio.gather(*(send_request(port, request(f"c{n}")) for n in range(6)))
        rejected = [response for response in responses if response.code == 503]
        assert len(rejected) == 3 and rejected[0].headers["x-not-run"] == "1"
        assert (await send_request(port, control_order(draining=True))).code == 200
        response = await send_request(port, request("d"))
        assert response.code == 503 and response.headers["x-not-run"] == "1"

    events = run_with_node(tmp_path, steps, cores=1, queue_capacity=2)
    assert count_kinds(events) == {
        "taken": 5,
        "began": 5,
        "ran": 5,
        "dropped": 1,
        "turned_away": 4,
        "ordered": 1,
    }


def test_a_node_with_a_fault_gives_no_response_or_an_error(tmp_path):
    async def steps(node, port):
        await send_request(port, control_order(fail=1.0))
        assert (await send_request(port, request("a"))).code == 500
        await send_request(port, control_order(fail=0.0, swallow=True))
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(request("b"))
        assert (await send_request(port, control_order(swallow=False))).code == 200
        assert (await send_request(port, request("c"))).code == 200
        assert (await send_request(port, control_order(unknown=1))).code == 400
        writer.close()

    events = run_with_node(tmp_path, steps)
    assert [event["id"] for event in events if event["what"] == "taken"] == ["a", "b", "c"]
    assert [event["id"] for event in events if event["what"] == "ran"] == ["c"]


def test_a_node_that_warms_up_collapses_under_overload_only(tmp_path):
    async def send_one_by_one(node, port):
        for n in range(10):
            assert (await send_request(port, request(f"g{n}"))).code == 200

    async def send_all_at_once(node, port):
        results = await asyncio.gather(
            *(send_request(port, request(f"h{n}")) for n in range(300)), return_exceptions=True
        )
        assert any(isinstance(result, Exception) for result in results) and node.model.collapsed

    profile = {"warm_up_s": 60.0, "start_capacity": 0.15}
    assert "fell" not in count_kinds(run_with_node(tmp_path, send_one_by_one, **profile))
    assert count_kinds(run_with_node(tmp_path, send_all_at_once, queue_capacity=1000, **profile))["fell"] == 1


@pytest.mark.parametrize("moment", ["work is due", "a request waits", "a connection comes"])
def test_an_ended_node_of_a_group_records_nothing_more_and_the_others_keep_serving(tmp_path, moment):
    """Guards against events after the log is closed, from work, queued requests or connections."""

    async def scenario():
        loop = asyncio.get_running_loop()
        uncaught = []
        loop.set_exception_handler(lambda _, context: uncaught.append(context))
        dedup_group, work = DeduplicationGroup(), {"assign": 0.2}
        options = [{"name": name, "cores": 1, "warm_up_s": 0.0, "mean_work_s": work} for name in ("n", "m")]
        first, other = [await open_server("nodes", tmp_path, one, dedup_group) for one in options]
        first.handler.on_end_order = first.end
        port, other_port = (int(server.address.split(":")[1]) for server in (first, other))
        writers = []
        accepted_count = {"work is due": 1, "a request waits": 2, "a connection comes": 0}[moment]
        for number in range(accepted_count):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(request(f"r{number}", "assign", "X-Lab-Work: 1"))
            writers.append(writer)
        while count_kinds(read_events(tmp_path / "n.jsonl"))["taken"] < accepted_count:
            await asyncio.sleep(0.001)
        connection = first.handler.service.connection() if moment == "a connection comes" else None
        if connection is not None:  # accepted before the end, connected to its transport after it
            first.end()
            transport = Transport()
            connection.connection_made(transport)
            if not transport.aborted:
                connection.data_received(request("late"))
        else:
            assert (await send_request(port, control_order(end=True))).code == 200
        while not first.event_log.file.closed:
            await asyncio.sleep(0.001)
        before = (tmp_path / "n.jsonl").read_bytes()
        assert (await send_request(other_port, request("b"))).body == b"m:b"
        await asyncio.sleep(0.3)  # longer than the 0.2 s of work on the request in process
        for writer in writers:
            writer.close()
        other.end()
        assert uncaught == []
        assert (tmp_path / "n.jsonl").read_bytes() == before

    run(scenario())
    assert count_kinds(read_events(tmp_path / "m.jsonl")) == {"taken": 1, "began": 1, "ran": 1}


class Transport(asyncio.Transport):
    """A transport that only records whether it was aborted."""

    def __init__(self):
        super().__init__()
        self.aborted = False

    def abort(self):
        self.aborted = True

    def is_closing(self):
        return self.aborted

    def write(self, data):
        pass


def test_a_directory_lists_endpoints_and_notifies_watchers(tmp_path):
    def entry(name, status="SERVING"):
        return {"name": name, "address": f"{HOST}:1", "status": status}

    async def scenario():
        loop = asyncio.get_running_loop()
        directory = FakeDirectory(EventLog(tmp_path / "d.jsonl"), loop)
        server = await loop.create_server(directory.service.connection, HOST, 0)
        port = server.sockets[0].getsockname()[1]

        async def get(query=""):
            response = await send_request(port, f"GET /api/targets{query} HTTP/1.1\r\n\r\n".encode())
            return json.loads(response.body)

        for name in ("a", "b"):
            assert (await send_request(port, control_order(**entry(name)))).code == 200
        complete = await get()
        assert complete["snapshot"] and [one["name"] for one in complete["endpoints"]] == ["a", "b"]
        assert (await get("?after=2&wait_ms=1"))["endpoints"] == []
        assert [one["name"] for one in (await get("?after=1&wait_ms=60000"))["endpoints"]] == ["b"]
        assert (await get("?after=99&wait_ms=60000"))["snapshot"]
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET /api/targets?after=2&wait_ms=60000 HTTP/1.1\r\n\r\n")
        while not directory.watches:
            await asyncio.sleep(0.001)
        await send_request(port, control_order(name="a", status="DRAINING"))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            notified = json.loads((await read_message(reader)).body)
        assert notified == {"index": 3, "snapshot": False, "endpoints": [entry("a", "DRAINING")]}
        await send_request(port, control_order(name="b", status="DELETED"))
        assert [one["name"] for one in (await get())["endpoints"]] == ["a"]
        writer.close()

    run(scenario())


def at(seconds, what, **fields):
    return {"what": what, "at": int(seconds * NS_PER_S), **fields}


def sent(request_id, seconds=1.0, class_name="assign"):
    return at(seconds, "asked", id=request_id, cls=class_name, deadline=2.0)


def answered(request_id, seconds=1.5, outcome="served", body=None, class_name="assign"):
    body = f"n:{request_id}" if body is None else body
    return at(seconds, "answered", id=request_id, cls=class_name, outcome=outcome, body=body, took=0.5)


def node_ran(request_id, seconds=1.2, class_name="assign"):
    return [
        at(seconds, "taken", id=request_id, cls=class_name),
        at(seconds + 0.1, "ran", id=request_id, cls=class_name),
    ]


VALID_EVENTS = {  # the recorded events of a run that breaks no rule, by participant
    "clients": [sent("a"), answered("a"), sent("z", 9.0), answered("z", 9.5, "refused", "")],
    "n": node_ran("a"),
    "m": [],
    "directory": [at(0.5, "told", entries={"n": "SERVING", "m": "SERVING"})],
}
VIOLATIONS = {  # the events added to VALID_EVENTS, the broken rule, and a part of the finding
    "no answer": ({"clients": [sent("b")]}, "one final answer", "request b: 0 answers"),
    "two answers": (
        {"clients": [sent("b"), answered("b", 1.5, "refused"), answered("b", 1.6, "refused")]},
        "one final answer",
        "request b: 2 answers",
    ),
    "lost": ({"clients": [sent("b"), answered("b", 1.5, "lost")]}, "one final answer", "request b"),
    "late": (
        {"clients": [sent("b"), answered("b", 3.2, "failed")]},
        "one final answer",
        "request b: failed after 2.200 of 2 s",
    ),
    "ran twice": (
        {"clients": [sent("b"), answered("b")], "n": node_ran("b"), "m": node_ran("b", 1.3)},
        "no repeat beyond the class",
        "request b was accepted 2 times: n at 1200000000, m at 1300000000",
    ),
    "request after the drain grace": (
        {
            "clients": [sent("b", 9.0), answered("b", 9.5)],
            "n": node_ran("b", 9.2),
            "directory": [at(6.0, "told", entries={"n": "DRAINING"})],
        },
        "drains kept",
        "n got request b 3.200 s after the directory reported its end",
    ),
    "drain reported twice": (
        {
            "clients": [sent("b", 9.0), answered("b", 9.5)],
            "n": node_ran("b", 9.2),
            "directory": [at(t, "told", entries={"n": "DRAINING"}) for t in (6.0, 8.9)],
        },
        "drains kept",
        "3.200 s after",
    ),
    "removed by a complete list without it": (
        {
            "clients": [sent("b", 9.0), answered("b", 9.5)],
            "n": node_ran("b", 9.2),
            "directory": [at(6.0, "told", entries={"m": "SERVING"}, whole=True)],
        },
        "drains kept",
        "n got request b 3.200 s after the directory reported its end",
    ),
    "too much memory": (
        {
            "stage": [
                at(t, "used", name="sidecar-1", memory_mb=m, sockets=9)
                for t, m in ((2, 50), (3, 300), (4, 80))
            ]
        },
        "within its means",
        "sidecar-1 used memory_mb 300 with a limit of 192 at 3000000000",
    ),
    "cold node overloaded": (
        {"m": [at(5.0, "fell", offered=9.0, bearable=2.0)]},
        "no cold node pushed over",
        "m collapsed: 9.00 s of work came, 2.00 s bearable",
    ),
    "answer to another request": (
        {"clients": [sent("b"), answered("b", 1.5, "served", "n:a")]},
        "true answers",
        "request b was served 'n:a'",
    ),
    "answer that no node sent": (
        {"clients": [sent("b"), answered("b", 1.5, "served", "n:b")]},
        "true answers",
        "which no node made",
    ),
}
VALID_ADDITIONS = {  # events added to VALID_EVENTS that break no rule
    "a repeat that was dropped": {
        "clients": [sent("b"), answered("b")],
        "n": [*node_ran("b"), at(1.4, "dropped", id="b", cls="assign")],
    },
    "request within the drain grace": {
        "clients": [sent("b", 8.0), answered("b", 8.4)],
        "n": node_ran("b", 8.2),
        "directory": [at(6.0, "told", entries={"n": "DRAINING"})],
    },
    "after the drain's end": {
        "clients": [sent("b", 9.0), answered("b", 9.5)],
        "n": node_ran("b", 9.2),
        "directory": [at(t, "told", entries={"n": s}) for t, s in ((6.0, "DRAINING"), (8.0, "SERVING"))],
    },
    "client disconnect": {"clients": [sent("b"), answered("b", 1.1, "left", "")], "n": node_ran("b")},
    "two executions of an idempotent request": {
        "clients": [sent("b", 1.0, "lookup"), answered("b", class_name="lookup")],
        "n": [*node_ran("b", 1.2, "lookup"), *node_ran("b", 1.3, "lookup")],
    },
}


def judge_with(added):
    events = {name: [*valid, *added.get(name, [])] for name, valid in VALID_EVENTS.items()}
    nodes = {name: events[name] for name in ("n", "m")}
    resource_limits = {"memory_mb": 192, "sockets": 1024}
    run_events = RunEvents([events["clients"]], nodes, events["directory"], added.get("stage", []))
    return judge(run_events, ["assign"], resource_limits)


@pytest.mark.parametrize("name", VIOLATIONS)
def test_the_judge_reports_each_violation_with_evidence(name):
    added, rule, text = VIOLATIONS[name]
    findings = judge_with(added).findings
    assert [finding.rule for finding in findings] == [rule] and text in findings[0].text


@pytest.mark.parametrize("name", [None, *VALID_ADDITIONS])
def test_the_judge_reports_nothing_about_valid_runs(name):
    report = judge_with(VALID_ADDITIONS.get(name, {}))
    assert not report.findings
    assert report.by_class["assign"]["asked"] == report.by_class["assign"].total() / 2


def test_clients_record_a_second_response_and_the_judge_reports_it(tmp_path):
    async def scenario():
        async def respond_twice_to_the_third(message, reader, writer):
            request_id = message.headers["x-request-id"]
            writer.write(http_response(503) + (http_response(503) if len(fake.received) == 3 else b""))
            request_ids.append(request_id)

        request_ids = []
        fake = await FakePeer(respond_twice_to_the_third).start()
        event_log = EventLog(tmp_path / "clients")
        clients = ClientLoad([RequestClass("assign", 1.0, Idempotency.NON_IDEMPOTENT, 2.0)], 100.0, 5)
        load = LoadGenerator((HOST, fake.port), clients, 1, event_log)
        await load.run(0.3)
        event_log.close()
        return request_ids

    request_ids = run(scenario())
    report = judge(RunEvents([list(read_events(tmp_path / "clients"))], {"n": []}), ["assign"])
    assert len(request_ids) > 3
    assert [finding.text.split(":")[0] for finding in report.findings] == [f"request {request_ids[2]}"]
    assert "2 answers" in report.findings[0].text


def test_a_truncated_event_log_is_read_up_to_its_last_complete_line(tmp_path):
    path = tmp_path / "l"
    path.write_text('{"what":"a"}\n{"what":"b"}\n{"wha')
    assert [event["what"] for event in read_events(path)] == ["a", "b"]
    path.write_text('{"what":"a"}\n{"wha\n{"what":"b"}\n')
    with pytest.raises(ValueError, match="line 2"):
        list(read_events(path))


def test_the_demo_runs_to_its_end_and_keeps_every_rule(tmp_path):
    done = subprocess.run(
        [sys.executable, "-m", "ochreflow.cli", "demo", "--seconds", "6", "--keep", str(tmp_path / "kept")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=90,
    )
    assert "BROKEN" not in done.stdout, done.stdout
    assert done.returncode in (0, 3), done.stderr  # 3: the machine was too slow for the clients
    assert done.stdout.count("kept  ") == len(RULES)
    served = int(re.search(r"assign +\d+ +(\d+)", done.stdout)[1])
    assert served > 50 and (tmp_path / "kept" / "node-7.jsonl").exists()


def test_a_directory_limits_its_rate_delays_notifications_and_forgets_changes(tmp_path):
    async def scenario():
        loop = asyncio.get_running_loop()
        directory = FakeDirectory(EventLog(tmp_path / "d.jsonl"), loop)
        server = await loop.create_server(directory.service.connection, HOST, 0)
        port = server.sockets[0].getsockname()[1]

        def get(query=""):
            return send_request(port, f"GET /api/targets{query} HTTP/1.1\r\n\r\n".encode())

        for number in range(6):
            await send_request(port, control_order(name=f"n{number}", address=f"{HOST}:1", status="SERVING"))
        await send_request(port, control_order(manners={"per_second": 50.0, "room": 2, "keeps": 3}))
        codes = sorted(response.code for response in await asyncio.gather(*(get() for _ in range(5))))
        assert codes == [200, 200, 200, 503, 503]
        assert not json.loads((await get("?after=4&wait_ms=9")).body)["snapshot"]
        # A complete list, since the changes after version 1 are no longer kept.
        assert json.loads((await get("?after=1&wait_ms=9")).body)["snapshot"]
        await send_request(port, control_order(manners={"resets": 1.0}))
        with pytest.raises((OSError, EOFError, AssertionError)):
            await get()
        await send_request(port, control_order(manners={"late": 0.2}))
        watch = asyncio.create_task(get("?after=6&wait_ms=60000"))
        while not directory.watches:
            await asyncio.sleep(0.001)
        await send_request(port, control_order(name="n1", status="DRAINING"))
        assert directory.watches  # the notification is still delayed
        assert json.loads((await watch).body)["endpoints"][0]["status"] == "DRAINING"

    run(scenario())


@pytest.mark.parametrize("form", ["extra", "interim", "cut", "garbled", "stalled"])
def test_a_node_sends_the_malformed_response_that_was_ordered(tmp_path, form):
    async def steps(node, port):
        await send_request(port, control_order(spoil=1.0, form=form))
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(request("a"))
        while not (counts := count_kinds(read_events(tmp_path / "node.jsonl")))["ran"]:
            await asyncio.sleep(0.005)
        assert counts["taken"] == 1
        writer.write_eof()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            response = await reader.read()
        starts = {"interim": b"HTTP/1.1 103", "garbled": b"HTP"}
        assert response.startswith(starts.get(form, b"HTTP/1.1 200 OK"))
        ends = {
            "extra": b"!",
            "interim": b"n:a",
            "garbled": b"n:a",
            "cut": b"\r\n\r\nn",
            "stalled": b"\r\n\r\nn",
        }
        assert response.endswith(ends[form])
        writer.close()

    run_with_node(tmp_path, steps)


def test_a_node_refuses_connections_beyond_its_limit(tmp_path):
    async def steps(node, port):
        first = await asyncio.open_connection(HOST, port)
        first[1].write(request("a"))
        await read_message(first[0])
        reader, writer = await asyncio.open_connection(HOST, port)
        with pytest.raises((OSError, EOFError)):
            writer.write(request("b"))
            if not await reader.read(1):
                raise EOFError
        first[1].write(request("c"))
        assert (await read_message(first[0])).body == b"n:c"
        first[1].close()

    assert count_kinds(run_with_node(tmp_path, steps, max_connections=1))["taken"] == 2


def test_clients_disconnect_are_slow_and_retry_after_a_rejection(tmp_path):
    async def scenario():
        async def reject_two_attempts(message, reader, writer):
            first = message.headers["x-request-id"].split("-")[0]
            attempts.setdefault(first, []).append(message)
            if len(attempts[first]) < 3:
                writer.write(b"HTTP/1.1 503 No\r\nRetry-After: 0.01\r\nContent-Length: 0\r\n\r\n")
            else:
                writer.write(http_response(200, b"n:x"))

        attempts = {}
        fake = await FakePeer(reject_two_attempts).start()
        event_log = EventLog(tmp_path / "clients")
        profile = ClientProfile(
            slow_share=0.3, large_body_share=0.3, large_body_bytes=50_000, cost_hint_share=1.0, max_attempts=3
        )
        clients = ClientLoad(
            [RequestClass("a", 1.0, Idempotency.IDEMPOTENT_WITH_KEY, 2.0, 0.05)], 60.0, 5, profile=profile
        )
        load = LoadGenerator((HOST, fake.port), clients, 1, event_log)
        await load.run(0.4)
        event_log.close()
        return attempts, load

    attempts, load = run(scenario())
    assert len(attempts) > 10 and all(len(messages) == 3 for messages in attempts.values())
    assert load.outcomes["served"] == len(attempts) and load.outcomes["refused"] == 2 * len(attempts)
    for messages in attempts.values():
        assert [message.headers.get("x-retry") for message in messages] == [None, "1", "1"]
        assert len({message.headers["x-request-id"] for message in messages}) == 3
        assert len({message.headers["idempotency-key"] for message in messages}) == 1
        deadlines_ms = [int(message.headers["x-deadline"][:-1]) for message in messages]
        assert deadlines_ms == sorted(deadlines_ms, reverse=True) and deadlines_ms[2] < 2000
        assert int(messages[0].headers["x-cost-hint"]) > 1000
    assert any(len(messages[0].body) > 50_000 for messages in attempts.values())
    report = judge(RunEvents([list(read_events(tmp_path / "clients"))], {"n": []}), [])
    assert (
        len(report.logical_requests["a"]) == len(attempts)
        and None not in report.logical_requests["a"].values()
    )
