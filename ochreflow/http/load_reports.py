"""Parses load reports: the figures that servers report about themselves, for the decision module."""

from __future__ import annotations

import re

from ..policy.settings import canonical_column

NUMBER = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")  # no sign, no exponent, a limited number of digits


class LoadReportParser:
    """Parses load reports into the order of columns that the decision module expects."""

    def __init__(self, columns: tuple[str, ...]) -> None:
        """Expect the fields named in `columns`, and return them in this order."""
        self.columns = columns
        self.indexes = {column.encode(): index for index, column in enumerate(columns)}

    def parse(self, text: bytes) -> tuple[float, ...]:
        """Return the figures; an empty tuple if one is missing, repeated or malformed."""
        values: list[float | None] = [None] * len(self.columns)
        for pair in text.split(b","):
            name, _, value = pair.partition(b"=")
            name = name.strip()
            index = self.indexes.get(name)
            if index is None:
                index = self.indexes.get(canonical_column(name.decode("latin-1")).encode())
            if index is not None:
                if values[index] is not None or not NUMBER.fullmatch(value.strip()):
                    return ()
                values[index] = float(value)
        known = [value for value in values if value is not None]
        return tuple(known) if len(known) == len(values) else ()
