"""Reload of the configuration on SIGHUP, which is applied completely or not at all."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING

from ..core.log import Sink, log
from ..http.clients import Client
from ..http.management import Management
from .config import Config, ConfigError, read_config
from .options import Options
from .sidecar import Sidecar

if TYPE_CHECKING:
    from .operator import AdmissionTable


class Reloader:
    """Applies new configurations one at a time, and owns the task that applies them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sidecar: Sidecar,
        management: Management,
        options: Options,
        path: str | None,
    ) -> None:
        """`path` names the platform's configuration; `options` are those in effect."""
        self.loop = loop
        self.sidecar = sidecar
        self.management = management
        self.options = options
        self.path = path
        self.task: asyncio.Task[None] | None = None
        self.reload_requested = False  # a request arrived while a reload was in progress

    def request_reload(self) -> None:
        """Read the configuration again, now or after the reload that is in progress."""
        if self.task is not None and not self.task.done():
            self.reload_requested = True
            return
        self.task = self.loop.create_task(self._reload())

    async def _reload(self) -> None:
        while True:
            self.reload_requested = False
            try:
                await self._apply_new()
            except ConfigError as error:
                log.warning("reload_rejected", reason=str(error))
            if not self.reload_requested:
                return

    async def _apply_new(self) -> None:
        """Run all steps that may fail before applying any change."""
        config: Config = read_config(self.path)
        options = Options.read(self.options.path)
        changed = self.options.changed_keys(options)
        sink = options.sink()
        if "operators.listen" in changed:
            try:
                await self.management.listen(options.operators or config.management)
            except OSError as error:
                msg = f"{options.path}: operators.listen: {error.strerror or error}"
                raise ConfigError(msg) from None
        self.sidecar.reload(config)
        if changed:
            self.apply_options(options, sink)
            log.info("reload_applied", changed=", ".join(changed))

    def apply_options(self, options: Options, sink: Sink) -> None:
        """Apply the operator's file, if there is one, and write the log to `sink` from now on."""
        self.options = options
        file = options.file
        if file is None:
            return
        log.configure(sink, file.log.level, file.log.per_second)
        timeouts = self.sidecar.http.clients.timeouts
        timeouts.head_s = file.clients.head_within
        timeouts.idle_s = file.clients.idle
        timeouts.slow_reader_s = file.clients.slow_reader
        if file.admission.on:
            self._apply_admission(file.admission)

    def _apply_admission(self, table: AdmissionTable) -> None:
        """Turn connection admission on, or change its limits."""
        from ..admission.connection_admission import ConnectionAdmission
        from ..admission.limits import Limits
        from ..admission.status import format_status

        limits = Limits(
            max_open=table.open,
            max_incomplete=table.half_written,
            max_new_per_s=table.new_per_second,
            prefix_multiplier=table.prefix_times,
            reserved_share=table.known_part,
            half_life_s=table.half_life,
            max_absent=table.remembered,
        )
        clients = self.sidecar.http.clients
        if isinstance(clients.admission, ConnectionAdmission):
            clients.admission.limits = limits
            return
        admission: ConnectionAdmission[Client] = ConnectionAdmission(
            limits, lambda: clients.descriptors.max_clients
        )
        clients.admission = admission
        self.management.routes[b"/admission"] = (b"GET", lambda: (200, format_status(admission, monotonic())))
