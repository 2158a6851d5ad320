"""The fault tool as a whole: one listening address in front of a target, and its control address."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Sequence

from ..http_server import HttpRequest, HttpService
from .datagram_proxy import DatagramProxy
from .datagrams import DatagramMachine
from .script import DATAGRAM_FAULTS, STREAM_FAULTS, Fault, ScriptError, Side, read_faults
from .stream import StreamMachine
from .stream_proxy import Address, ConnectionEnd, ProxiedConnection
from .transcript import Transcript

BACKLOG = 512


class FaultProxy:
    """Owns the script, the transcript and the open connections."""

    def __init__(
        self, target: Address, faults: Sequence[Fault], seed: int, *, datagrams: bool = False
    ) -> None:
        """Stand in front of a target, for streams or for datagrams."""
        self.target = target
        self.faults = list(faults)
        self.seed = seed
        self.allowed = DATAGRAM_FAULTS if datagrams else STREAM_FAULTS
        self.transcript = Transcript()
        self.number = 0  # of the next connection
        self.connections: set[ProxiedConnection] = set()
        self.datagrams = DatagramMachine(seed, faults, self.transcript)

    def accept(self) -> ConnectionEnd:
        """The protocol of a new connection."""
        machine = StreamMachine(self.seed, self.number, self.faults, self.transcript)
        connection = ProxiedConnection(machine, self.target, self.connections.discard)
        self.connections.add(connection)
        self.number += 1
        return connection.ends[Side.REQUEST]

    def accept_datagrams(self) -> DatagramProxy:
        """The protocol of the listening socket for datagrams."""
        return DatagramProxy(self.datagrams, self.target)

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Use another script: for what is open, and for what comes."""
        self.faults = list(faults)
        for connection in self.connections:
            connection.machine.set_faults(faults)
        self.datagrams.set_faults(faults)

    def control(self) -> HttpService:
        """The control address: GET /transcript, POST /faults with a JSON list, POST /cut."""
        return HttpService(self._handle_control)

    def _handle_control(self, request: HttpRequest) -> None:
        match request.method, request.target:
            case "GET", "/transcript":
                body = {"digest": self.transcript.digest(), "lines": self.transcript.lines()}
                request.answer(200, json.dumps(body).encode())
            case "POST", "/faults":
                self._replace_script(request)
            case "POST", "/cut":
                self.close()
                request.answer(200)
            case _:
                request.answer(404)

    def _replace_script(self, request: HttpRequest) -> None:
        try:
            self.set_faults(read_faults(json.loads(request.body), "/faults", self.allowed))
        except (ValueError, ScriptError) as error:
            request.answer(400, str(error).encode())
        else:
            request.answer(200)

    def close(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.close(reset=True)


async def serve(proxy: FaultProxy, listen: Address, control: Address | None, *, udp: bool) -> None:
    """Serve at an address until SIGTERM or SIGINT; print where it listens, and at the end the transcript."""
    loop = asyncio.get_running_loop()
    if udp:
        transport, _ = await loop.create_datagram_endpoint(proxy.accept_datagrams, local_addr=listen)
        address = transport.get_extra_info("sockname")
    else:
        server = await loop.create_server(proxy.accept, *listen, backlog=BACKLOG)
        address = server.sockets[0].getsockname()
    print(f"stands at {address[0]}:{address[1]}", flush=True)
    if control is not None:
        controls = await loop.create_server(proxy.control().connection, *control)
        print("steered at {}:{}".format(*controls.sockets[0].getsockname()), flush=True)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()
    proxy.close()
    for line in proxy.transcript.lines():
        print(line)
    print(f"digest {proxy.transcript.digest()}", flush=True)
