"""The lab's stage with all who take part in one loop, in place of processes: see `simulated.py`."""

import asyncio
import json
import os

from ochreflow.app.config import read_config
from ochreflow.app.sidecar import Sidecar
from ochreflow.lab.event_log import EventLog
from ochreflow.lab.fake_directory import FakeDirectory, Manners
from ochreflow.lab.fake_node import FakeNode
from ochreflow.lab.node_model import Pod, Traits
from ochreflow.lab.stage import END_WITHIN, HOST, LOOK_EVERY, Stage, usage


class FakeServer:
    """A fake server with its socket; `freeze` stops it as SIGSTOP does a process: its peers see silence."""

    def __init__(self, made, event_log):
        self.handler, self.event_log = made, event_log
        self.server = None
        self.frozen = False

    async def listen(self, port):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._connection, HOST, port, backlog=512, reuse_address=True)
        return f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def _connection(self):
        made = self.handler.service.connection()
        if self.frozen:
            welcome = made.connection_made

            def connection_made(transport):
                welcome(transport)
                transport.pause_reading()

            made.connection_made = connection_made
        return made

    def _transports(self):
        return [one.transport for one in self.handler.service.connections if one.transport is not None]

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
        """A process that is gone writes nothing down any more."""
        self.server.close()
        self.handler.event_log = EventLog(None)
        self.handler.service.cut_all()
        self.event_log.close()


class SimulatedStage(Stage):
    """Owns the parts of one run, by the names that the processes would have."""

    def __init__(self, scenario, folder, seed):
        super().__init__(scenario, folder, seed)
        self.servers = {}  # by the name of the one that starts the house
        self.at = {}  # places by their names
        self.sidecars = {}

    async def start_servers(self, kind, wanted):
        loop = asyncio.get_running_loop()
        house, pod, found = wanted[0]["name"], Pod(), []
        self.servers[house] = []
        for one in wanted:
            options = dict(one)
            name, seed, port = options["name"], options.pop("seed", 0), options.pop("port", 0)
            event_log = EventLog(self.folder / f"{name}.jsonl")
            if kind == "nodes":
                made = FakeNode(Traits(**options), event_log, seed, loop, pod)
            else:
                made = FakeDirectory(event_log, loop, Manners(**options["manners"]), seed)
            place = FakeServer(made, event_log)
            made.end = place.end
            self.houses[name] = house
            self.servers[house].append(place)
            self.at[name] = place
            self.addresses[name] = await place.listen(port)
            found.append(self.addresses[name])
        return found

    async def sidecar(self, number):
        name = f"sidecar-{number}"
        self.configure(number, f"{HOST}:0")
        made = Sidecar(asyncio.get_running_loop(), read_config(str(self.folder / f"{name}.json")))
        server = await asyncio.get_running_loop().create_server(made.http.connection, HOST, 0)
        made.http.listen(server)
        made.engine.lifecycle.serve()
        self.sidecars[name] = made
        self.event_log.record("started", name=name)
        host, port = server.sockets[0].getsockname()
        self.addresses[name] = f"{host}:{port}"
        return self.addresses[name]

    async def end(self, name, kill):
        """End the places of one house."""
        self.event_log.record("killed" if kill else "ended", name=name)
        for place in self.servers.pop(name):
            place.end()

    async def order(self, address, order):
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

    async def take_node(self, step, number, by):
        if step.do not in ("freeze", "thaw"):
            await super().take_node(step, number, by)
            return
        for place in self.servers[self.houses[f"node-{number}"]]:
            place.freeze() if step.do == "freeze" else place.thaw()

    async def _look(self):
        """All are in this process: what it holds is what each sidecar holds at the most."""
        while True:
            for name in self.sidecars:
                self.event_log.record("used", name=name, **usage(os.getpid()))
            await asyncio.sleep(LOOK_EVERY)

    async def stop(self):
        """End the sidecars in order, as SIGTERM does: they answer what they hold; then the rest."""
        for name, made in self.sidecars.items():
            made.engine.lifecycle.terminate()
            try:
                await asyncio.wait_for(made.engine.lifecycle.stopped, END_WITHIN)
            except TimeoutError:
                self.crashed.append(f"{name} did not end within {END_WITHIN:g} s")
            made.close()
        for load in self.loads:
            load.event_log.close()
        for house in list(self.servers):
            await self.end(house, kill=False)
        self.event_log.close()
