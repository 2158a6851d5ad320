"""Load reports: what servers say of themselves, as figures that the decision module can use."""

from __future__ import annotations

import re

from ..policy.settings import canonical_column

FIGURE = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")  # plain numbers: no sign, no exponent, nothing endless


class LoadReportParser:
    """Parses load reports by the names of their fields, in the order that the module expects."""

    def __init__(self, columns: tuple[str, ...]) -> None:
        """Expect the fields named `columns`, in this order."""
        self.columns = columns
        self.indexes = {column.encode(): index for index, column in enumerate(columns)}

    def parse(self, text: bytes) -> tuple[float, ...]:
        """The figures; none at all if one is missing, comes twice or is unreadable."""
        values: list[float | None] = [None] * len(self.columns)
        for pair in text.split(b","):
            name, _, value = pair.partition(b"=")
            name = name.strip()
            index = self.indexes.get(name)
            if index is None:
                index = self.indexes.get(canonical_column(name.decode("latin-1")).encode())
            if index is not None:
                if values[index] is not None or not FIGURE.fullmatch(value.strip()):
                    return ()
                values[index] = float(value)
        known = [value for value in values if value is not None]
        return tuple(known) if len(known) == len(values) else ()
