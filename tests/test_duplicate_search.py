"""The duplicate search: its command, and a small fixed part of it on sockets."""

import textwrap
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import pytest

from ochreflow.cli.main import main
from ochreflow.lab.duplicates import search as searching
from ochreflow.lab.duplicates.drawing import draw
from ochreflow.lab.duplicates.fault_groups import FaultGroup
from ochreflow.lab.duplicates.plan import (
    ClientRequest,
    DisconnectMode,
    PipelinedPair,
    ServerPlan,
)
from ochreflow.lab.duplicates.report import format_timeline
from ochreflow.lab.duplicates.run import run_plan
from ochreflow.lab.duplicates.treatment import Ending, Treatment

ROOT = Path(__file__).resolve().parents[1]

# The command


@pytest.mark.parametrize(
    "arguments",
    [
        ["--runs", "0"],
        ["--seed", "-1"],
        ["--seed", "one"],
        ["--seconds", "1"],
        ["--seconds", "nan"],
        ["--seconds", "inf"],
        ["--jobs", "0"],
        ["--without", "sunshine"],
        ["--build", "/nowhere/at/all"],
        ["--keep", __file__],
        ["more"],
    ],
)
def test_what_cannot_be_searched_is_one_line_and_starts_nothing(arguments, capsys, monkeypatch):
    monkeypatch.setattr(searching, "run_plan", lambda *_: pytest.fail("it played"))
    assert main(["lab", "duplicates", *arguments]) == 2
    said = capsys.readouterr()
    assert said.out == ""
    assert len(said.err.splitlines()) == 1


# On sockets. A program that sends each request to two servers has to be found out.

TWICE = """
    import asyncio, json, os

    async def put(address, data):
        reader, writer = await asyncio.open_connection(*address.split(":"))
        writer.write(data)
        head = await reader.readuntil(b"\\r\\n\\r\\n")
        writer.close()
        return head.split()[1]

    async def serve(reader, writer):
        while True:
            head = await reader.readuntil(b"\\r\\n\\r\\n")
            length = [line for line in head.lower().split(b"\\r\\n") if line.startswith(b"content-length:")]
            body = await reader.readexactly(int(length[0].split(b":")[1])) if length else b""
            servers = [entry["address"] for entry in config["known"]["endpoints"]][:2]
            codes = [await put(server, head + body) for server in servers]
            writer.write(b"HTTP/1.1 %s X\\r\\nContent-Length: 0\\r\\n\\r\\n" % codes[0])

    async def run():
        host, port = config["listen"].split(":")
        server = await asyncio.start_server(serve, host, int(port))
        print("twice listens at %s:%d" % server.sockets[0].getsockname(), flush=True)
        await server.serve_forever()

    config = json.load(open(os.environ["GW_CONFIG"]))
    asyncio.run(run())
"""
ALONE = ["--without", "early", "--without", "freeze", "--without", "sidecars", "--without", "servers"]


@pytest.mark.xdist_group("real-time")
def test_the_command_finds_a_program_that_sends_requests_twice(tmp_path, capsys):
    package = tmp_path / "ochreflow"
    package.mkdir()
    (package / "__main__.py").write_text(textwrap.dedent(TWICE))
    arguments = ["--build", str(tmp_path), "--seed", "3", "--seconds", "2", *ALONE, "--without", "bursts"]
    assert main(["lab", "duplicates", *arguments]) == 1
    said = capsys.readouterr().out
    assert "a second whole copy" in said
    assert "Events of " in said and "COPY 1 is whole" in said
    assert "1 of 1 runs broke the rule: 3" in said


@pytest.mark.xdist_group("real-time")
def test_a_build_that_does_not_start_is_one_line(tmp_path, capsys):
    package = tmp_path / "ochreflow"
    package.mkdir()
    (package / "__main__.py").write_text("raise SystemExit('first line\\nno such thing')")
    assert main(["lab", "duplicates", "--build", str(tmp_path)]) == 2
    said = capsys.readouterr()
    assert said.out == ""
    assert len(said.err.splitlines()) == 1 and "no such thing" in said.err


PARTLY = 65536  # bytes of a body of which the system takes some 48,000 while its server reads nothing
UNREAD = ServerPlan(zone=0, cell=0, receive_buffer=4096, segment=1460)


def fixed_plan(size, treatment, servers, disconnects_after=None, disconnect_mode=None):
    """Eight orders, whose first attempts are treated alike."""
    plan = draw(1, 2.0, frozenset())
    order = replace(plan.classes[1], deadline=1.5)
    requests = tuple(
        ClientRequest(
            0.1 + number * 0.1,
            f"{number + 1:016x}",
            number % 2,
            order,
            size,
            False,
            1.5,
            1,
            disconnects_after,
            disconnect_mode,
        )
        for number in range(8)
    )
    classes = (plan.classes[0], order, *plan.classes[2:])
    return replace(
        plan,
        sidecars=2,
        hedging=False,
        max_attempts=3,
        connect_timeout=0.25,
        classes=classes,
        servers=servers,
        requests=requests,
        fixed=(treatment,),
    )


def partly_written(ending):
    """Requests that a server ends while they are partly written, in a turn in which the rest could go out."""
    treatment = Treatment(ending, early=True, delay=0.02, freeze_for=0.0, drain_first=True)
    return fixed_plan(PARTLY, treatment, (UNREAD,) * 4)


@pytest.mark.xdist_group("real-time")
@pytest.mark.parametrize("ending", [Ending.HALF_CLOSE, Ending.GARBAGE])
def test_what_is_partly_written_when_its_server_ends_is_not_retried(ending):
    result = run_plan(partly_written(ending), ROOT)
    assert [format_timeline(failure) for failure in result.failures] == []
    assert result.crashed == []
    assert result.copies >= len(partly_written(ending).requests)  # the rest did come, or nothing was tried


PLAIN = ServerPlan(zone=0, cell=0, receive_buffer=0, segment=0)


def pipelined(request, number, lookups):
    """A pair whose empty line crosses the close behind its last answer."""
    lookup = replace(request, id=f"{100 + number:016x}", cls=lookups, answer_size=30_000)
    order = replace(request, id=f"{200 + number:016x}", last=True)
    return PipelinedPair(request.at, lookup, order, line_after=0.8, reads_after=0.9)


@pytest.mark.xdist_group("real-time")
def test_clients_that_end_their_sending_or_read_late_are_answered():
    treatment = Treatment(Ending.SERVE, delay=0.3)
    alone = fixed_plan(0, treatment, (PLAIN,) * 4)
    pairs = tuple(
        pipelined(request, number, alone.classes[0]) for number, request in enumerate(alone.requests)
    )
    ending = fixed_plan(
        200, treatment, (PLAIN,) * 4, disconnects_after=0.1, disconnect_mode=DisconnectMode.END_SENDING
    )
    result = run_plan(replace(ending, pairs=pairs), ROOT)
    assert [format_timeline(failure) for failure in result.failures] == []
    assert result.copies == len(ending.requests) + 2 * len(pairs)
    assert result.non_idempotent_answers == {502: len(ending.requests), 200: len(pairs)}


@pytest.mark.xdist_group("real-time")
def test_no_drawn_run_breaks_the_rule():
    plans = [draw(seed, 2.5, frozenset(FaultGroup)) for seed in (2, 10)]
    with ProcessPoolExecutor(len(plans)) as pool:
        results = list(pool.map(run_plan, plans, [ROOT] * len(plans)))
    for result in results:
        assert [format_timeline(failure) for failure in result.failures] == []
        assert result.crashed == []
        assert result.requests > 100
