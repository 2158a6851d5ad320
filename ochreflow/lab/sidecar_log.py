"""Observes running sidecars: ejections in their logs, memory and descriptors."""

from __future__ import annotations

import re
import resource
from pathlib import Path

from .event_log import EventKind, EventLog

SERVER_NUMBER = re.compile(r"(\S+) is server (\d+) at ")
EJECTION = re.compile(r"ejected (\d+) after")
BYTES_PER_MB = 1_000_000


class EjectionReader:
    """Reads the sidecars' logs incrementally, and records the nodes that they eject."""

    def __init__(self, log_dir: Path, event_log: EventLog) -> None:
        """Read the log of each sidecar from `log_dir`/NAME.log."""
        self.log_dir = log_dir
        self.event_log = event_log
        self.offsets: dict[str, int] = {}  # bytes read so far, by sidecar
        self.nodes: dict[tuple[str, str], str] = {}  # node names by sidecar and its server number

    def forget(self, name: str) -> None:
        """Read the log of a restarted sidecar from its start."""
        self.offsets.pop(name, None)

    def read(self, name: str) -> None:
        """Record the ejections that a sidecar has logged since the last call."""
        with (self.log_dir / f"{name}.log").open("rb") as file:
            file.seek(self.offsets.get(name, 0))
            data = file.read()
        complete = data[: data.rfind(b"\n") + 1]
        self.offsets[name] = self.offsets.get(name, 0) + len(complete)
        text = complete.decode(errors="replace")
        for node, number in SERVER_NUMBER.findall(text):
            self.nodes[name, number] = node
        for number in EJECTION.findall(text):
            self.event_log.record(EventKind.EJECTED, name=self.nodes.get((name, number), number), by=name)


def resource_usage(pid: int) -> dict[str, float]:
    """Return the resident memory and the open descriptors of a process; an empty dict if it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return {
            "memory_mb": round(pages * resource.getpagesize() / BYTES_PER_MB, 1),
            "sockets": sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir()),
        }
    except (OSError, IndexError):
        return {}
