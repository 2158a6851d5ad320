"""The operator's file, the `ochreflow` command, structured logs, and reloads."""

import asyncio
import json
import re
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

import msgspec
import pytest
from net_helpers import (
    HOST,
    FakePeer,
    config,
    endpoint_update,
    entry,
    http_request,
    never_answer,
    run,
    send_request,
)
from test_process import Process

from ochreflow.app import operator, operator_reader
from ochreflow.core.log import Log

pytestmark = pytest.mark.xdist_group("processes")

ROOT = Path(__file__).parent.parent


def command(*arguments, **options):
    return subprocess.run(
        [sys.executable, "-m", "ochreflow.cli", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        **options,
    )


EXPECTED_ERRORS = {
    "top = 1": "top: no such key; known here: log, operators, limits, clients",
    "log = 3": "log: found 3, wanted a table",
    "[log]\nfromat = 'json'": "log.fromat: no such key; did you mean format?",
    "[log]\nlevel = 'loud'": 'log.level: found "loud", wanted one of "debug", "info", "warning", "error"',
    "[log]\nper_second = 0": "log.per_second: found 0, wanted at least 1 and at most 100000",
    "[log]\nper_second = 'x'": 'log.per_second: found "x", wanted a whole number',
    "[log]\nper_second = 1.5": "log.per_second: found 1.5, wanted a whole number",
    "[clients]\nidle = 2": "clients.idle: found 2, wanted a time with its unit",
    "[clients]\nidle = '2 parsecs'": 'clients.idle: found "2 parsecs", wanted a time with its unit',
    "[clients]\nidle = '1ms'": 'clients.idle: found "1ms", wanted at least 100ms and at most 3600s',
    "[limits]\nmemory = '1GB'": 'limits.memory: found "1GB", wanted a size with its unit',
    "[operators]\nlisten = 'localhost:1'": 'operators.listen: found "localhost:1", wanted an address and',
}


def test_all_errors_are_reported_at_once_with_key_and_expected_value(tmp_path):
    for text, expected_error in EXPECTED_ERRORS.items():
        path = tmp_path / "one.toml"
        path.write_text(text)
        with pytest.raises(operator_reader.OperatorFileError) as caught:
            operator_reader.read_file(str(path))
        assert len(caught.value.errors) == 1 and caught.value.errors[0].startswith(
            f"{path}: {expected_error}"
        ), text
    path.write_text("top = 1\n[log]\nlevel = 'loud'\nper_secnod = 3\n[clients]\nidle = 2\n")
    done = command("check", str(path))
    assert done.returncode == 2 and not done.stdout
    keys = [line.removeprefix(f"{path}: ").split(":")[0] for line in done.stderr.splitlines()]
    assert keys == ["top", "log.level", "log.per_secnod", "clients.idle"]


@pytest.mark.parametrize("text", ["[log", "log = ", "\xff", None])
def test_invalid_toml_or_a_missing_file_prints_one_line(tmp_path, text):
    path = tmp_path / "f"
    if text is not None:
        path.write_bytes(text.encode("latin-1"))
    done = command("check", str(path))
    assert done.returncode == 2 and done.stderr.startswith(f"{path}: ") and done.stderr.count("\n") == 1


def test_the_shipped_file_is_valid_and_contains_every_key_with_its_default(tmp_path):
    text = (ROOT / "deploy" / "ochreflow.toml").read_text()
    path = tmp_path / "all.toml"
    path.write_text(
        "\n".join(line.removeprefix("# ") if " = " in line else line for line in text.splitlines())
    )
    tables_in_file = tomllib.loads(path.read_text())
    tables = set(operator.OperatorFile.__struct_fields__)
    assert set(tables_in_file) == tables
    defaults = operator.OperatorFile()
    for table in tables:
        assert set(tables_in_file[table]) == set(getattr(defaults, table).__struct_fields__)
    read = operator_reader.read_file(str(path))
    assert read.log == defaults.log and read.clients == defaults.clients


def test_the_schema_has_the_defaults_and_bounds_of_the_reader():
    schema = json.loads(command("schema").stdout)
    clients = schema["$defs"]["ClientsTable"]
    assert clients["additionalProperties"] is False
    assert clients["properties"]["idle"]["default"] == "2s"
    assert schema["$defs"]["LogTable"]["properties"]["per_second"]["maximum"] == 100_000
    assert msgspec.json.decode(msgspec.json.encode(schema)) == schema


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["frobnicate"], 2),
        (["check"], 2),
        (["check", "a", "b"], 2),
        (["stats"], 2),
        (["stats", "nowhere"], 2),
        (["run", "--port", "1"], 2),
        (["drain", f"{HOST}:1"], 1),
    ],
)
def test_a_usage_error_or_a_failed_call_prints_one_line(arguments, code):
    done = command(*arguments)
    assert done.returncode == code and not done.stdout
    assert done.stderr.startswith("ochreflow: ") and done.stderr.count("\n") == 1


def test_every_command_has_help_with_an_example():
    listed = command("--help").stdout.split("Commands:")[1]
    for name in [line.split()[0] for line in listed.strip().splitlines()]:
        help_text = command(name, "--help").stdout
        assert f"Example:\n    ochreflow {name}" in help_text, name


class ConfiguredProcess(Process):
    """A process with an operator's file."""

    def __init__(self, path, data, text):
        super().__init__(path, data)
        self.file = path.with_suffix(".toml")
        self.file.write_text(text)
        self.arguments = ["--config", str(self.file)]


def test_the_command_drains_undrains_and_prints_statistics(tmp_path):
    async def scenario():
        async with ConfiguredProcess(
            tmp_path / "c", config(endpoint_update(1)), f'[operators]\nlisten = "{HOST}:0"'
        ) as sidecar:
            address = f"{HOST}:{sidecar.management_port}"
            for name, state in (("drain", "draining"), ("undrain", "serving")):
                done = await asyncio.to_thread(command, name, address)
                assert (done.returncode, done.stdout) == (0, f"{address}: {state}\n")
            done = await asyncio.to_thread(command, "stats", address)
            assert "app.fronts.http.succeeded=0\n" in done.stdout

    run(scenario())


def test_a_reload_is_applied_completely_or_not_at_all(tmp_path):
    async def scenario():
        fake = await FakePeer(never_answer).start()
        data = config(endpoint_update(1, entry("s1", fake.address)))
        start = f'[operators]\nlisten = "{HOST}:0"\n'
        async with ConfiguredProcess(tmp_path / "c", data, start) as sidecar:
            busy_listener = socket.create_server((HOST, 0))

            async def reload(text, expected_log):
                sidecar.file.write_text(text)
                sidecar.process.send_signal(signal.SIGHUP)
                await sidecar.wait_for_log(re.escape(expected_log))
                health = b"GET /healthcheck HTTP/1.1\r\n\r\n"
                assert (await send_request(sidecar.management_port, health)).code == 200

            await reload("[log]\nlevel = 1\n", b"log.level: found 1")
            await reload(start + '[limits]\nmemory = "64MiB"\n', b"can't change while running: limits.memory")
            port = busy_listener.getsockname()[1]
            # An address that can't be bound: the old one stays, and the other change is not applied either.
            busy = f'[operators]\nlisten = "{HOST}:{port}"\n[clients]\nidle = "60s"\n'
            await reload(busy, b"operators.listen: ")
            old_port = sidecar.management_port
            # An upload in progress continues while a valid file is applied.
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            body = bytes(200_000)
            upload = http_request("order", "flowing", "3000m", body)
            writer.write(upload[:100_000])
            busy_listener.close()
            sidecar.file.write_text(busy)
            sidecar.process.send_signal(signal.SIGHUP)
            await sidecar.wait_for_log(rb"reload applied: operators.listen, clients.idle")
            assert (await send_request(port, b"GET /healthcheck HTTP/1.1\r\n\r\n")).code == 200
            with pytest.raises(OSError):
                await send_request(old_port, b"GET /healthcheck HTTP/1.1\r\n\r\n")
            fake.handler = answer_200
            writer.write(upload[100_000:])
            assert (await reader.readline()).split()[1] == b"200"
            assert fake.received[0].body == body
            writer.close()
            sidecar.process.send_signal(signal.SIGTERM)
            assert await sidecar.process.wait() == 0

    async def answer_200(message, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    run(scenario())


def test_json_logs_have_one_event_per_line_with_its_fields(tmp_path):
    async def scenario():
        fake = await FakePeer(never_answer).start()
        data = config(endpoint_update(1, entry("s1", fake.address)))
        text = '[log]\nformat = "json"\nlevel = "debug"\n'
        async with ConfiguredProcess(tmp_path / "c", data, text) as sidecar:
            assert (await send_request(sidecar.port, http_request("order", "one", "300m"))).code == 502
            sidecar.process.send_signal(signal.SIGTERM)
            assert await sidecar.process.wait() == 0
            lines = [json.loads(line) for line in await sidecar.all_lines() if line.startswith(b"{")]
        events = {line["event"]: line for line in lines}
        response = {"frontend": "http", "request": "one", "outcome": "aborted", "reason": "balancer_decision"}
        assert (
            response.items() <= events["final_response"].items()
            and events["final_response"]["level"] == "debug"
        )
        assert events["attempt"]["server"] == 1 and events["attempt"]["attempt"] == 0
        assert isinstance(events["listening"]["port"], int) and "timestamp" in events["listening"]

    run(scenario())


def test_run_with_an_invalid_file_prints_one_line_and_returns_1(tmp_path):
    (tmp_path / "c").write_text(json.dumps(config(endpoint_update(1))))
    (tmp_path / "f").write_text("a = 1\nb = 2\n")
    done = command("run", "--platform", str(tmp_path / "c"), "--config", str(tmp_path / "f"), timeout=20)
    assert done.returncode == 1 and done.stderr.count("\n") == 1
    assert done.stderr.startswith(f"ochreflow: {tmp_path}/f: a: no such key") and "and 1 more" in done.stderr


@pytest.mark.parametrize(("missing", "format_name"), [("msgspec", "plain"), ("structlog", "json")])
def test_a_missing_library_that_a_file_needs_prints_one_line(tmp_path, missing, format_name):
    (tmp_path / "c").write_text(json.dumps(config(endpoint_update(1))))
    (tmp_path / "f").write_text(f'[log]\nformat = "{format_name}"\n')
    code = f"import sys; sys.modules['{missing}'] = None\n"
    code += f"from ochreflow.app.process import main; sys.exit(main({str(tmp_path / 'f')!r}))"
    env = {"GW_CONFIG": str(tmp_path / "c"), "PATH": "/usr/bin:/bin"}
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, env=env, capture_output=True, text=True, timeout=30
    )
    assert done.returncode == 1 and done.stderr.count("\n") == 1, done.stderr
    assert missing in done.stderr and "requirements-cli.txt" in done.stderr


def test_lines_of_one_event_are_rate_limited_and_suppressed_ones_are_counted():
    now, written = [0.0], []
    log = Log(lambda level, event, fields: written.append((event, fields)), lambda: now[0])
    log.configure(log.sink, "info", 3)
    for _ in range(10):
        log.info("balancer_message", message="x")
        log.debug("final_response")
    log.info("draining")
    now[0] = 1.0
    log.info("balancer_message", message="y")
    assert written == [
        *[("balancer_message", {"message": "x"})] * 3,
        ("draining", {}),
        ("balancer_message", {"message": "y", "suppressed": 7}),
    ]


def test_run_imports_only_the_modules_that_its_configuration_needs(tmp_path):
    """Guards the memory of a process, which is limited: no click, msgspec, structlog or lab without need."""
    (tmp_path / "c").write_text(json.dumps(config(endpoint_update(1))))
    code = """
import asyncio, os, signal, sys
from ochreflow.app import process
process_run = process.run
async def run(*args):
    asyncio.get_running_loop().call_later(0.2, os.kill, os.getpid(), signal.SIGTERM)
    await process_run(*args)
process.run = run
code = process.main(sys.argv[1] if len(sys.argv) > 1 else None)
print(" ".join(sorted(sys.modules)))
sys.exit(code)
"""
    env = {"GW_CONFIG": str(tmp_path / "c"), "PATH": "/usr/bin:/bin"}
    imported = {}
    for format_name in (None, "plain", "json"):
        (tmp_path / "f").write_text(f'[log]\nformat = "{format_name}"\n')
        arguments = [] if format_name is None else [str(tmp_path / "f")]
        done = subprocess.run(
            [sys.executable, "-c", code, *arguments],
            cwd=ROOT,
            env=env,
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert done.returncode == 0, done.stderr
        imported[format_name] = set(done.stdout.split())
    own = {name for name in imported[None] if name.startswith("ochreflow")}
    layers = {name.split(".")[1] for name in own if "." in name}
    assert layers == {"app", "core", "errors", "http", "membership", "policy"}
    assert not any(name.startswith(("ochreflow.app.operator", "ochreflow.app.logs")) for name in own)
    heavy = {"click", "msgspec", "structlog", "tomllib", "yaml", "numpy", "matplotlib", "cryptography"}
    assert not imported[None] & heavy
    assert imported["plain"] & heavy == {"msgspec", "tomllib"}
    assert imported["json"] & heavy == {"msgspec", "tomllib", "structlog"}
