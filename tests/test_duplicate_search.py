"""The duplicate search: its command, and a few fixed runs of it on sockets."""

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
def test_invalid_arguments_give_one_error_line_and_start_no_run(arguments, capsys, monkeypatch):
    monkeypatch.setattr(searching, "run_plan", lambda *_: pytest.fail("a run was started"))
    assert main(["lab", "duplicates", *arguments]) == 2
    output = capsys.readouterr()
    assert output.out == ""
    assert len(output.err.splitlines()) == 1


# Tests on real sockets: the search has to detect a program that sends each request to two servers.

DUPLICATING_SIDECAR = """
    import asyncio, json, os

    async def forward(address, data):
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
            codes = [await forward(server, head + body) for server in servers]
            writer.write(b"HTTP/1.1 %s X\\r\\nContent-Length: 0\\r\\n\\r\\n" % codes[0])

    async def run():
        host, port = config["listen"].split(":")
        server = await asyncio.start_server(serve, host, int(port))
        print("twice listens at %s:%d" % server.sockets[0].getsockname(), flush=True)
        await server.serve_forever()

    config = json.load(open(os.environ["GW_CONFIG"]))
    asyncio.run(run())
"""
EXCLUDED = ["--without", "early", "--without", "freeze", "--without", "sidecars", "--without", "servers"]


@pytest.mark.xdist_group("real-time")
def test_the_command_detects_a_program_that_sends_requests_twice(tmp_path, capsys):
    package = tmp_path / "ochreflow"
    package.mkdir()
    (package / "__main__.py").write_text(textwrap.dedent(DUPLICATING_SIDECAR))
    arguments = ["--build", str(tmp_path), "--seed", "3", "--seconds", "2", *EXCLUDED, "--without", "bursts"]
    assert main(["lab", "duplicates", *arguments]) == 1
    report = capsys.readouterr().out
    assert "a second whole copy" in report
    assert "Events of " in report and "COPY 1 is whole" in report
    assert "1 of 1 runs broke the rule: 3" in report


@pytest.mark.xdist_group("real-time")
def test_a_build_that_does_not_start_gives_one_error_line(tmp_path, capsys):
    package = tmp_path / "ochreflow"
    package.mkdir()
    (package / "__main__.py").write_text("raise SystemExit('first line\\nno such thing')")
    assert main(["lab", "duplicates", "--build", str(tmp_path)]) == 2
    output = capsys.readouterr()
    assert output.out == ""
    assert len(output.err.splitlines()) == 1 and "no such thing" in output.err


PARTLY_WRITTEN_BODY_BYTES = 65536  # the system buffers some 48,000 bytes while the server reads nothing
UNREAD_SERVER = ServerPlan(zone=0, cell=0, receive_buffer_bytes=4096, max_segment_bytes=1460)


def fixed_plan(size, treatment, servers, disconnects_after=None, disconnect_mode=None):
    """Return a plan of eight non-idempotent requests whose first attempts get the same treatment."""
    plan = draw(1, 2.0, frozenset())
    order_class = replace(plan.classes[1], deadline=1.5)
    requests = tuple(
        ClientRequest(
            0.1 + number * 0.1,
            f"{number + 1:016x}",
            number % 2,
            order_class,
            size,
            False,
            1.5,
            1,
            disconnects_after,
            disconnect_mode,
        )
        for number in range(8)
    )
    classes = (plan.classes[0], order_class, *plan.classes[2:])
    return replace(
        plan,
        sidecars=2,
        hedging=False,
        max_attempts=3,
        connect_timeout=0.25,
        classes=classes,
        servers=servers,
        requests=requests,
        fixed_treatments=(treatment,),
    )


def partly_written_plan(ending):
    """Return a plan whose servers end partly written requests just when their buffers accept the rest."""
    treatment = Treatment(ending, early=True, delay=0.02, freeze_for=0.0, drain_first=True)
    return fixed_plan(PARTLY_WRITTEN_BODY_BYTES, treatment, (UNREAD_SERVER,) * 4)


@pytest.mark.xdist_group("real-time")
@pytest.mark.parametrize("ending", [Ending.HALF_CLOSE, Ending.GARBAGE])
def test_requests_partly_written_when_their_server_ends_them_are_not_retried(ending):
    result = run_plan(partly_written_plan(ending), ROOT)
    assert [format_timeline(failure) for failure in result.failures] == []
    assert result.crashed == []
    # With fewer copies the rest of the bodies never arrived, and nothing was tested.
    assert result.copies >= len(partly_written_plan(ending).requests)


DEFAULT_SERVER = ServerPlan(zone=0, cell=0, receive_buffer_bytes=0, max_segment_bytes=0)


def pipelined_pair(request, number, idempotent_class):
    """Return a pair whose empty line crosses the close after its last response."""
    first_request = replace(
        request, id=f"{100 + number:016x}", request_class=idempotent_class, response_size=30_000
    )
    second_request = replace(request, id=f"{200 + number:016x}", closes_connection=True)
    return PipelinedPair(request.at, first_request, second_request, empty_line_after=0.8, reads_after=0.9)


@pytest.mark.xdist_group("real-time")
def test_clients_that_half_close_or_read_late_get_their_responses():
    treatment = Treatment(Ending.SERVE, delay=0.3)
    base_plan = fixed_plan(0, treatment, (DEFAULT_SERVER,) * 4)
    pairs = tuple(
        pipelined_pair(request, number, base_plan.classes[0])
        for number, request in enumerate(base_plan.requests)
    )
    half_closing = fixed_plan(
        200,
        treatment,
        (DEFAULT_SERVER,) * 4,
        disconnects_after=0.1,
        disconnect_mode=DisconnectMode.END_SENDING,
    )
    result = run_plan(replace(half_closing, pairs=pairs), ROOT)
    assert [format_timeline(failure) for failure in result.failures] == []
    assert result.copies == len(half_closing.requests) + 2 * len(pairs)
    assert result.non_idempotent_responses == {502: len(half_closing.requests), 200: len(pairs)}


@pytest.mark.xdist_group("real-time")
def test_drawn_runs_keep_the_rule():
    plans = [draw(seed, 2.5, frozenset(FaultGroup)) for seed in (2, 10)]
    with ProcessPoolExecutor(len(plans)) as pool:
        results = list(pool.map(run_plan, plans, [ROOT] * len(plans)))
    for result in results:
        assert [format_timeline(failure) for failure in result.failures] == []
        assert result.crashed == []
        assert result.requests > 100
