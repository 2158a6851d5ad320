"""The options of the operator's file, if there is one, in the program's units."""

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
    """The values of the file. A property is None if the file does not set it."""

    path: str | None = None
    file: OperatorFile | None = None

    @classmethod
    def read(cls, path: str | None) -> Options:
        """Read and validate the file. Raise ConfigError, with a message of one line, if it is invalid."""
        if path is None:
            return cls()
        try:
            from .operator_reader import OperatorFileError, read_file
        except ImportError as error:
            msg = f"{path}: {error}: an operator's file needs the packages of requirements-cli.txt"
            raise ConfigError(msg) from None
        try:
            return cls(path, read_file(path))
        except OperatorFileError as error:
            raise ConfigError(str(error)) from None

    def sink(self) -> Sink:
        """Return the sink of the log. Raise ConfigError if its format needs a package that is missing."""
        format_name = self.file.log.format if self.file is not None else "plain"
        if format_name == "plain":
            return write_plain_line
        try:
            from .logs import structured_sink
        except ImportError as error:
            msg = f"{self.path}: log.format: {error}: install requirements-cli.txt"
            raise ConfigError(msg) from None
        return structured_sink(format_name)

    @property
    def memory(self) -> int | None:
        """The limit on memory in bytes."""
        return self.file.limits.memory if self.file is not None else None

    @property
    def descriptors(self) -> int | None:
        """The limit on open file descriptors."""
        return self.file.limits.descriptors if self.file is not None else None

    @property
    def operators(self) -> Address | None:
        """The address of the management interface, which overrides the platform's."""
        return self.file.operators.listen if self.file is not None else None

    def changed_keys(self, new: Options) -> list[str]:
        """Return the keys that differ. Raise ConfigError if any of them can't change at run time."""
        if self.file is None or new.file is None:
            return []
        from .operator import changed_keys

        changes = list(changed_keys(self.file, new.file))
        if rejected := [f"{key} ({fixed.reason})" for key, fixed in changes if fixed is not None]:
            msg = f"{new.path}: can't change while running: {', '.join(rejected)}"
            raise ConfigError(msg)
        return [key for key, _ in changes]
