"""What the operator's own file says, in the program's units; without a file, what holds in its place."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.log import Sink, write_plain_line
from ..core.ports import Address
from .config import ConfigError

if TYPE_CHECKING:
    from .operator import OperatorFile


@dataclass(frozen=True, slots=True)
class Options:
    """The values of the file. A property is None where the file does not set it."""

    path: str | None = None
    file: OperatorFile | None = None

    @classmethod
    def read(cls, path: str | None) -> Options:
        """Read and check the file; ConfigError, in one line, if it can't be used."""
        if path is None:
            return cls()
        try:
            from .operator_reader import OperatorFileError, read_file
        except ImportError as error:
            msg = f"{path}: {error}: an operator's file needs requirements-cli.txt"
            raise ConfigError(msg) from None
        try:
            return cls(path, read_file(path))
        except OperatorFileError as error:
            raise ConfigError(str(error)) from None

    def sink(self) -> Sink:
        """Where the log goes; ConfigError if its form needs a library that is not installed."""
        form = self.file.log.format if self.file is not None else "plain"
        if form == "plain":
            return write_plain_line
        try:
            from .logs import structured
        except ImportError as error:
            msg = f"{self.path}: log.format: {error}: see requirements-cli.txt"
            raise ConfigError(msg) from None
        return structured(form)

    @property
    def memory(self) -> int | None:
        """The limit of memory, in bytes."""
        return self.file.limits.memory if self.file is not None else None

    @property
    def descriptors(self) -> int | None:
        """The limit of file descriptors."""
        return self.file.limits.descriptors if self.file is not None else None

    @property
    def operators(self) -> Address | None:
        """The operators' address, which comes before the platform's."""
        return self.file.operators.listen if self.file is not None else None

    def changed(self, new: Options) -> list[str]:
        """The keys that differ; ConfigError names those that can't change while the process runs."""
        if self.file is None or new.file is None:
            return []
        from .operator import changes

        found = list(changes(self.file, new.file))
        if refused := [f"{key} ({fixed.reason})" for key, fixed in found if fixed is not None]:
            msg = f"{new.path}: can't change while running: {', '.join(refused)}"
            raise ConfigError(msg)
        return [key for key, _ in found]
