"""What the operator's own file says, and how new configurations are taken while the process runs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from time import monotonic
from typing import TYPE_CHECKING, Any

from ..core.log import Sink, log, plain
from ..core.ports import Address
from ..http.clients import Client
from ..http.management import Management
from .config import Config, ConfigError, read_config
from .sidecar import Sidecar

if TYPE_CHECKING:
    from .operator import AdmissionTable, OperatorFile


@dataclass(frozen=True, slots=True)
class Options:
    """What the file says, in the program's own units. Without a file all is as it always was."""

    path: str | None = None
    file: OperatorFile | None = None

    @classmethod
    def read(cls, path: str | None) -> Options:
        """ConfigError, in one line, if it can't be used."""
        if path is None:
            return cls()
        try:
            from .operator import FaultsError, read_file
        except ImportError as error:
            raise ConfigError(f"{path}: {error}: an operator's file needs requirements-cli.txt") from None
        try:
            return cls(path, read_file(path))
        except FaultsError as faults:
            raise ConfigError(str(faults)) from None

    def sink(self) -> Sink:
        """Where events go. ConfigError if the form needs what is not installed."""
        form = self.file.log.format if self.file is not None else "plain"
        if form == "plain":
            return plain
        try:
            from .logs import structured
        except ImportError as error:
            raise ConfigError(f"{self.path}: log.format: {error}: see requirements-cli.txt") from None
        return structured(form)

    def _get(self, table: str, key: str) -> Any:
        return getattr(getattr(self.file, table), key) if self.file is not None else None

    @property
    def memory(self) -> int | None:
        return self._get("limits", "memory")

    @property
    def descriptors(self) -> int | None:
        return self._get("limits", "descriptors")

    @property
    def operators(self) -> Address | None:
        return self._get("operators", "listen")

    def changed(self, new: Options) -> list[str]:
        """The keys that differ; ConfigError names those that can't change while the process runs."""
        if self.file is None or new.file is None:
            return []
        from .operator import changes

        found = list(changes(self.file, new.file))
        if fixed := [f"{key} ({bar.why})" for key, bar in found if bar is not None]:
            raise ConfigError(f"{new.path}: can't change while running: {', '.join(fixed)}")
        return [key for key, _ in found]


class Reloader:
    """Takes new configurations one at a time, each whole or not at all."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sidecar: Sidecar,
        management: Management,
        options: Options,
        path: str | None,
    ) -> None:
        self.loop = loop
        self.sidecar = sidecar
        self.management = management
        self.options = options
        self.path = path
        self.task: asyncio.Task[None] | None = None
        self.reload_again = False  # asked for once more while one was being taken

    def request_reload(self) -> None:
        """Read the configurations again, now or when the reload that is under way has ended."""
        if self.task is not None and not self.task.done():
            self.reload_again = True
            return
        self.task = self.loop.create_task(self._reload())

    async def _reload(self) -> None:
        while True:
            self.reload_again = False
            try:
                await self._apply_new()
            except ConfigError as error:
                log.warning("reload_rejected", reason=str(error))
            if not self.reload_again:
                return

    async def _apply_new(self) -> None:
        """Everything that may fail comes first; then all of it is taken."""
        config: Config = read_config(self.path)
        options = Options.read(self.options.path)
        changed = self.options.changed(options)
        sink = options.sink()
        if "operators.listen" in changed:
            try:
                await self.management.listen(options.operators or config.management)
            except OSError as error:
                raise ConfigError(f"{options.path}: operators.listen: {error.strerror or error}") from None
        self.sidecar.reload(config)
        if changed:
            self.apply_options(options, sink)
            log.info("reload_applied", changed=", ".join(changed))

    def apply_options(self, options: Options, sink: Sink) -> None:
        self.options = options
        file = options.file
        if file is None:
            return
        log.use(sink, file.log.level, file.log.per_second)
        times = self.sidecar.http.clients.times
        times.head = file.clients.head_within
        times.idle = file.clients.idle
        times.slow_reader = file.clients.slow_reader
        if file.admission.on:
            self._apply_admission(file.admission)

    def _apply_admission(self, table: AdmissionTable) -> None:
        """Turn the connection admission on, or give it other limits."""
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
