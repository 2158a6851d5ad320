"""Memory and time of connection admission while ever new addresses connect.

    python benchmarks/addresses.py [--addresses 10000000]

Each address connects once and leaves; one in ten has a request answered. Prints one JSON object: the memory
of the process before, after a tenth, and after all, in KiB, and microseconds for each connection.
"""

from __future__ import annotations

import argparse
import json
import os
from pathlib import Path
from time import perf_counter

from ochreflow.admission.connection_admission import ConnectionAdmission
from ochreflow.admission.limits import Limits

PAGE = os.sysconf("SC_PAGE_SIZE") // 1024
GAP = 0.001  # seconds between connections: a thousand a second


def resident() -> int:
    """KiB of this process in memory."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--addresses", type=int, default=10_000_000)
    many = parser.parse_args().addresses
    admission: ConnectionAdmission[int] = ConnectionAdmission(Limits(), lambda: 1000)
    figures: dict[str, float] = {"addresses": many, "before_kib": resident()}
    began = perf_counter()
    let_in = 0
    for number in range(many):
        now = number * GAP
        address = f"{10 + (number >> 24)}.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        if admission.admit(now, number, address) is None:
            let_in += 1
            if number % 10 == 0:
                admission.request_completed(now, number)
            admission.connection_closed(number)
        if number == many // 10:
            figures["after_a_tenth_kib"] = resident()
    figures |= {"after_kib": resident(), "let_in": let_in, "remembered": len(admission.absent)}
    print(json.dumps({**figures, "us_for_each": round((perf_counter() - began) / many * 1e6, 2)}))


if __name__ == "__main__":
    main()
