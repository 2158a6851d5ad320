"""The fault-injecting proxy: a listening address in front of a target, and a control interface."""

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
    """Proxy in front of one target; owns the script, the transcript and the open connections."""

    def __init__(
        self, target: Address, faults: Sequence[Fault], seed: int, *, datagrams: bool = False
    ) -> None:
        """Prepare a proxy for streams or for datagrams to `target`; nothing listens yet."""
        self.target = target
        self.faults = list(faults)
        self.seed = seed
        self.allowed_kinds = DATAGRAM_FAULTS if datagrams else STREAM_FAULTS
        self.transcript = Transcript()
        self.next_connection_number = 0
        self.connections: set[ProxiedConnection] = set()
        self.datagram_machine = DatagramMachine(seed, faults, self.transcript)

    def accept(self) -> ConnectionEnd:
        """Create the protocol of a new connection."""
        machine = StreamMachine(self.seed, self.next_connection_number, self.faults, self.transcript)
        connection = ProxiedConnection(machine, self.target, self.connections.discard)
        self.connections.add(connection)
        self.next_connection_number += 1
        return connection.ends[Side.REQUEST]

    def accept_datagrams(self) -> DatagramProxy:
        """Create the protocol of the listening datagram socket."""
        return DatagramProxy(self.datagram_machine, self.target)

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Use another script for the open connections and for everything that arrives later."""
        self.faults = list(faults)
        for connection in self.connections:
            connection.machine.set_faults(faults)
        self.datagram_machine.set_faults(faults)

    def control(self) -> HttpService:
        """Create the control interface: GET /transcript, POST /faults with a JSON list, POST /cut."""
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
            self.set_faults(read_faults(json.loads(request.body), "/faults", self.allowed_kinds))
        except (ValueError, ScriptError) as error:
            request.answer(400, str(error).encode())
        else:
            request.answer(200)

    def close(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.close(reset=True)


async def serve(proxy: FaultProxy, listen: Address, control: Address | None, *, udp: bool) -> None:
    """Serve until SIGTERM or SIGINT. Print the addresses after start and the transcript at the end."""
    loop = asyncio.get_running_loop()
    if udp:
        transport, _ = await loop.create_datagram_endpoint(proxy.accept_datagrams, local_addr=listen)
        address = transport.get_extra_info("sockname")
    else:
        server = await loop.create_server(proxy.accept, *listen, backlog=BACKLOG)
        address = server.sockets[0].getsockname()
    print(f"listening at {address[0]}:{address[1]}", flush=True)
    if control is not None:
        control_server = await loop.create_server(proxy.control().connection, *control)
        print("control interface at {}:{}".format(*control_server.sockets[0].getsockname()), flush=True)
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
    proxy.close()
    for line in proxy.transcript.lines():
        print(line)
    print(f"digest {proxy.transcript.digest()}", flush=True)
