"""The lab's environment with all participants in one loop instead of processes (see `simulated.py`)."""

import asyncio
import json
import os

from ochreflow.app.config import read_config
from ochreflow.app.sidecar import Sidecar
from ochreflow.lab.event_log import EventKind, EventLog
from ochreflow.lab.fake_server import make_handler
from ochreflow.lab.node_model import DeduplicationGroup
from ochreflow.lab.platform_config import HOST
from ochreflow.lab.process_environment import END_TIMEOUT_S, ProcessEnvironment
from ochreflow.lab.scenario_runner import ScenarioRunner
from ochreflow.lab.sidecar_log import resource_usage


class InLoopServer:
    """A fake server; `freeze` stops it as SIGSTOP stops a process: its peers receive nothing."""

    def __init__(self, handler, event_log):
        self.handler, self.event_log = handler, event_log
        self.server = None
        self.frozen = False

    async def listen(self, port):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._connection, HOST, port, backlog=512, reuse_address=True)
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def _connection(self):
        connection = self.handler.service.connection()
        if self.frozen:
            connection_made_unfrozen = connection.connection_made

            def connection_made(transport):
                connection_made_unfrozen(transport)
                transport.pause_reading()

            connection.connection_made = connection_made
        return connection

    def _transports(self):
        return [
            connection.transport
            for connection in self.handler.service.connections
            if connection.transport is not None
        ]

    def freeze(self):
        self.frozen = True
        for transport in self._transports():
            transport.pause_reading()
        if self.handler.timer is not None:
            self.handler.timer.cancel()

    def thaw(self):
        self.frozen = False
        self.handler._wake()
        for transport in self._transports():
            transport.resume_reading()

    def end(self):
        """End like a killed process: nothing is recorded any more."""
        self.server.close()
        self.handler.event_log = EventLog(None)
        self.handler.service.abort_all()
        self.event_log.close()


class InLoopEnvironment(ProcessEnvironment):
    """Owns the servers and sidecars of one run, by the names that their processes would have."""

    def __init__(self, scenario, run_dir, seed, event_log):
        super().__init__(scenario, run_dir, seed, event_log)
        self.servers = {}  # name of the process that would run them -> its servers
        self.sidecars = {}

    async def start_servers(self, kind, server_options):
        process, dedup_group, addresses = server_options[0]["name"], DeduplicationGroup(), []
        self.servers[process] = []
        for given_options in server_options:
            options = dict(given_options)
            name, seed, port = options["name"], options.pop("seed", 0), options.pop("port", 0)
            event_log = EventLog(self.run_dir / f"{name}.jsonl")
            handler = make_handler(kind, options, seed, event_log, dedup_group)
            server = InLoopServer(handler, event_log)
            handler.on_end_order = server.end
            self.process_of[name] = process
            self.servers[process].append(server)
            self.addresses[name] = await server.listen(port)
            addresses.append(self.addresses[name])
        return addresses

    async def start_sidecar(self, number):
        name = f"sidecar-{number}"
        self.write_config(number, f"{HOST}:0")
        sidecar = Sidecar(asyncio.get_running_loop(), read_config(str(self.run_dir / f"{name}.json")))
        server = await asyncio.get_running_loop().create_server(sidecar.http.connection, HOST, 0)
        sidecar.http.listen(server)
        sidecar.engine.lifecycle.serve()
        self.sidecars[name] = sidecar
        self.event_log.record(EventKind.PROCESS_STARTED, name=name)
        host, port = server.sockets[0].getsockname()
        self.addresses[name] = f"{host}:{port}"
        return self.addresses[name]

    async def end(self, name, *, kill):
        """End the servers of one process."""
        kind = EventKind.PROCESS_KILLED if kill else EventKind.PROCESS_TERMINATED
        self.event_log.record(kind, name=name)
        for server in self.servers.pop(name):
            server.end()

    async def send_order(self, address, order):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = json.dumps(order).encode()
            head = f"POST /-/lab HTTP/1.1\r\nHost: lab\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            line = await reader.readline()
            assert line.startswith(b"HTTP/1.1 200 "), (order, line)
        finally:
            writer.close()

    def freeze(self, name):
        for server in self.servers[self.process_of[name]]:
            server.freeze()

    def thaw(self, name):
        for server in self.servers[self.process_of[name]]:
            server.thaw()

    def sample_sidecars(self):
        """Record the resources of this process for each sidecar, as an upper bound: all run in it."""
        for name in self.sidecars:
            self.event_log.record(EventKind.RESOURCES_USED, name=name, **resource_usage(os.getpid()))

    async def stop(self):
        """End the sidecars in order as SIGTERM does (they answer pending requests), then the servers."""
        for name, sidecar in self.sidecars.items():
            sidecar.engine.lifecycle.terminate()
            try:
                await asyncio.wait_for(sidecar.engine.lifecycle.stopped, END_TIMEOUT_S)
            except TimeoutError:
                self.crashes.append(f"{name} did not end within {END_TIMEOUT_S:g} s")
            sidecar.close()
        for process in list(self.servers):
            await self.end(process, kill=False)


class SimulatedRunner(ScenarioRunner):
    """Runs a scenario with all participants in one loop."""

    def make_environment(self, program):
        return InLoopEnvironment(self.scenario, self.run_dir, self.seed, self.event_log)
