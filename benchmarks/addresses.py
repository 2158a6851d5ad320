"""Memory and time of connection admission while new addresses keep connecting.

    python benchmarks/addresses.py [--addresses 10000000]

Each address connects once and disconnects; every tenth completes a request. Prints one JSON object: resident
memory of the process in KiB at the start, after a tenth and after all connections, and the time for each
connection in microseconds.
"""

from __future__ import annotations

import argparse
import json
import os
from pathlib import Path
from time import perf_counter

import checkout  # noqa: F401 - puts this checkout on the import path

from ochreflow.admission.connection_admission import ConnectionAdmission
from ochreflow.admission.limits import Limits

PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024
CONNECTION_INTERVAL_S = 0.001  # a thousand connections a second


def resident_kib() -> int:
    """Read the resident memory of this process, in KiB."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_KIB


def main() -> None:
    """Connect the addresses and print the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--addresses", type=int, default=10_000_000)
    count = parser.parse_args().addresses
    admission: ConnectionAdmission[int] = ConnectionAdmission(Limits(), lambda: 1000)
    metrics: dict[str, float] = {"addresses": count, "before_kib": resident_kib()}
    start_time = perf_counter()
    admitted = 0
    for number in range(count):
        now = number * CONNECTION_INTERVAL_S
        address = f"{10 + (number >> 24)}.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        if admission.admit(now, number, address) is None:
            admitted += 1
            if number % 10 == 0:
                admission.request_completed(now, number)
            admission.connection_closed(number)
        if number == count // 10:
            metrics["after_a_tenth_kib"] = resident_kib()
    metrics |= {"after_kib": resident_kib(), "let_in": admitted, "remembered": len(admission.absent)}
    print(json.dumps({**metrics, "us_for_each": round((perf_counter() - start_time) / count * 1e6, 2)}))


if __name__ == "__main__":
    main()
