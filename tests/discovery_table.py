"""Prints by how much sidecars learn of a drain too late, for each event and each end of the next calls.

The balancer and the discovery client are real; the event loop and discovery are simulated. A cell is late if
it is above 0, in seconds after the protocol's limit. `PYTHONPATH=. python tests/discovery_table.py` prints
`docs/design/discovery-table.md`; `test_discovery_table.py` checks the cells that are promised.
"""

import itertools
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from test_discovery_recovery import (
    NOTIFIED_IN_S,
    SLACK_S,
    DiscoveryRequest,
    SimulatedDiscovery,
    SimulatedLoop,
    SimulatedSidecar,
    SimulatedTransport,
)

from ochreflow.core.log import log
from ochreflow.http import discovery_transport
from ochreflow.membership.timeouts import LONG_POLL_WAIT_MS, NOTIFIED_AFTER_S

GRACES_S = (0.0, 0.5, 2.5)
FLEETS = (4, 30, 48, 100, 200)
NOTIFIED_AFTER_SIGNAL_S = 4.0
QUIET_S = 30.0
SETTLE_S = 3 * LONG_POLL_WAIT_MS / 1000
OUTAGE_S = (1.0, 60.0)
PROMPT_S, WAIT_S, PIECES_S = 0.02, 1.9, 3.7
AT_ONCE_S, LATE_S = 0.003, 2.0
# A half answer is reported once it has stalled, and fails later; before that report existed, it failed then.
STALLED_S = PROMPT_S + getattr(discovery_transport, "STALL_NOTICE_S", 1.0)
HALF_S = PROMPT_S + getattr(discovery_transport, "RESPONSE_STALL_S", 1.0)
RATE_SPAN_S = 10.0
OUTAGES = {"refused": "refused", "503": "503", "late 503": "late 503", "silence": "dropping"}
EVENTS = (
    "start",
    "broken watch",
    "silent watch",
    "watch that ends at once",
    "SIGHUP",
    "SIGHUP in series",
    *(f"outage: {kind}" for kind in OUTAGES),
)


@dataclass(frozen=True)
class NextCalls:
    """How the calls after an event end: `count` of them fail after `failing_s`, later ones are answered."""

    name: str
    failing_s: float = 0.0  # 0: a call that fails is never answered
    count: int = 0
    answer_s: float = PROMPT_S
    reason: str = "answer 503"


NEXT_CALLS = (
    NextCalls("answered at once"),
    NextCalls("answered after 1.9 s", answer_s=WAIT_S),
    NextCalls("answered in pieces until 3.7 s", answer_s=PIECES_S),
    *(NextCalls(f"{n} x 503 at once", AT_ONCE_S, n) for n in (1, 2)),
    *(NextCalls(f"{n} x 503 after 2 s", LATE_S, n) for n in (1, 2)),
    *(NextCalls(f"{n} x reset", AT_ONCE_S, n, reason="RESET") for n in (1, 2)),
    *(NextCalls(f"{n} x never", 0.0, n) for n in (1, 2)),
    *(NextCalls(f"{n} x half an answer", HALF_S, n, reason="RESET") for n in (1, 2)),
)


class ScriptedTransport(SimulatedTransport):
    """A transport whose calls end as the sidecar's script says."""

    def __init__(self, loop, server, sidecar):
        super().__init__(loop, server)
        self.sidecar = sidecar

    def get(self, target, timeout_s, on_answer):
        script, sidecar = self.sidecar.script, self.sidecar
        if script is None or sidecar.remaining <= 0:
            super().get(target, timeout_s, on_answer)
            return
        sidecar.remaining -= 1
        self.server.request_times.append(self.loop.now)
        request = DiscoveryRequest(on_answer, target, self.loop.now)
        if script.failing_s == HALF_S and hasattr(self, "on_answer_stalled"):
            self.loop.call_later(STALLED_S, self.on_answer_stalled, on_answer)
        if script.failing_s:
            self.loop.call_later(script.failing_s, request.end, None, script.reason)
            return
        if request.after is not None:
            sidecar.silent_poll_at = self.loop.now
        self.loop.call_later(timeout_s, request.end, None, "TIMEOUT")


class ScriptedSidecar(SimulatedSidecar):
    """A sidecar whose calls to the last address end as its script says."""

    def __init__(self, loop, servers, last, fleet, grace, seed):
        self.last, self.script, self.remaining = last, None, 0
        self.silent_poll_at = float("-inf")
        super().__init__(loop, servers, fleet, grace, seed)

    def create_transport(self, server):
        if server is self.last:
            return ScriptedTransport(self.loop, server, self)
        return super().create_transport(server)

    def follow(self, script):
        self.script, self.remaining = script, script.count


class Round:
    """One run of an event."""

    def __init__(self, event, next_calls, fleet, grace, sidecars, rng):
        self.event, self.next_calls, self.grace, self.rng = event, next_calls, grace, rng
        self.loop = SimulatedLoop()
        series = {"SIGHUP": 1, "SIGHUP in series": rng.choice((2, 4, 10))}.get(event, 0)
        self.first = SimulatedDiscovery(self.loop)
        self.addresses = [f"address {number}" for number in range(series)]
        servers = {name: SimulatedDiscovery(self.loop) for name in self.addresses}
        self.last = servers[self.addresses[-1]] if series else self.first
        servers["first"] = self.first
        self.sidecars = [
            ScriptedSidecar(self.loop, servers, self.last, fleet, grace, rng.randrange(1 << 30))
            for _ in range(sidecars)
        ]

    def follow(self):
        self.last.answer = self.next_calls.answer_s
        for sidecar in self.sidecars:
            sidecar.follow(self.next_calls)

    def play(self):
        """Play the event; return when each sidecar counts as notified by the protocol."""
        if self.event != "start":
            self.loop.run(QUIET_S)
        if self.event.startswith("outage"):
            return self.outage()
        if self.event.startswith("SIGHUP"):
            return self.signals()
        if self.event == "silent watch":
            return self.silent_watch()
        if self.event == "watch that ends at once":
            self.last.change()
            self.loop.run(self.loop.now + 0.06)
        self.follow()
        if self.event != "start":
            self.last.reset()
        self.loop.run(self.loop.now + self.rng.choice((0.0, self.rng.uniform(0.0, NOTIFIED_IN_S))))
        return self.change()

    def change(self):
        self.last.change()
        return [self.loop.now + NOTIFIED_IN_S for _ in self.sidecars]

    def silent_watch(self):
        self.follow()
        self.first.stall_open_polls()
        polled_at = [sidecar.discovery.polled_at for sidecar in self.sidecars]
        silent_at = self.loop.now
        self.last.change()
        wait_s = LONG_POLL_WAIT_MS / 1000
        return [max(silent_at + NOTIFIED_IN_S, at + wait_s + NOTIFIED_AFTER_S) for at in polled_at]

    def signals(self):
        self.last.index += 1
        for number, name in enumerate(self.addresses, 1):
            if number == len(self.addresses):
                self.follow()
            for sidecar in self.sidecars:
                sidecar.discovery.switch_address(name)
            if number < len(self.addresses):
                self.loop.run(self.loop.now + self.rng.uniform(0.02, 0.8))
        return [self.loop.now + NOTIFIED_AFTER_SIGNAL_S for _ in self.sidecars]

    def outage(self):
        self.first.behaviour = OUTAGES[self.event.removeprefix("outage: ")]
        self.first.reset()
        self.loop.run(self.loop.now + self.rng.uniform(*OUTAGE_S))
        self.first.behaviour = "up"
        wait_s = LONG_POLL_WAIT_MS / 1000
        if self.event == "outage: silence":
            for sidecar in self.sidecars:
                sidecar.silent_poll_at = sidecar.discovery.transport.polled_at
        self.follow()
        self.first.change()
        return [
            max(self.loop.now + NOTIFIED_IN_S, sidecar.silent_poll_at + wait_s + NOTIFIED_AFTER_S)
            for sidecar in self.sidecars
        ]

    def lateness(self):
        """Return how many seconds after its limit each sidecar learnt of the change."""
        limits = self.play()
        self.played_at = self.loop.now
        version = self.last.index
        self.loop.run(self.loop.now + SETTLE_S)
        wait_s = LONG_POLL_WAIT_MS / 1000
        return [
            sidecar.notified_at.get(version, float("inf"))
            - max(limit, sidecar.silent_poll_at + wait_s + NOTIFIED_AFTER_S)
            - self.grace
            - SLACK_S
            for sidecar, limit in zip(self.sidecars, limits, strict=True)
        ]

    def calls_per_s(self, fleet):
        """Return the calls a second of the whole fleet after the event."""
        end = self.played_at + RATE_SPAN_S
        calls = sum(self.played_at <= at < end for at in self.last.request_times)
        return calls / RATE_SPAN_S * fleet / len(self.sidecars)


def cell(event, next_calls, fleet, grace, rounds, sidecars):
    """Return the greatest lateness in seconds, and the calls a second of the fleet after the event."""
    rng = random.Random(repr((event, next_calls.name, fleet, grace)))
    late_s, rates = [], []
    for _ in range(rounds):
        played = Round(event, next_calls, fleet, grace, min(fleet, sidecars), rng)
        late_s.append(max(played.lateness()))
        rates.append(played.calls_per_s(fleet))
    return max(late_s), sum(rates) / len(rates)


def needed_calls_per_s(event, next_calls, fleet, grace):
    """Return the calls a second that any schedule needs for this cell; infinity if none can keep the limit.

    Within the limit the failing calls and the answer have to fit. What is left is the time over which the
    first calls of the fleet can be spread, or in an outage that shows nothing, each repetition as well.
    """
    failing_s = next_calls.failing_s or NOTIFIED_AFTER_S
    if failing_s == HALF_S:
        failing_s = STALLED_S
    notified_s = {"SIGHUP": NOTIFIED_AFTER_SIGNAL_S, "SIGHUP in series": NOTIFIED_AFTER_SIGNAL_S}
    notified_s |= {"silent watch": NOTIFIED_AFTER_S, "outage: silence": NOTIFIED_AFTER_S}
    limit_s = notified_s.get(event, NOTIFIED_IN_S) + grace + SLACK_S
    count = next_calls.count
    left_s = limit_s - next_calls.answer_s - count * failing_s
    if event in ("outage: 503", "outage: late 503"):
        outage_failing_s = AT_ONCE_S if event == "outage: 503" else LATE_S
        left_s -= outage_failing_s
        return (
            fleet * (count + 1) / (left_s + count * failing_s + outage_failing_s)
            if left_s > 0
            else float("inf")
        )
    return fleet / left_s if left_s > 0 else float("inf")


def _cell(arguments):
    log.configure(lambda *_: None)
    return arguments, cell(*arguments, 12, 12)


def main():
    cells = list(itertools.product(EVENTS, NEXT_CALLS, FLEETS, GRACES_S))
    with ProcessPoolExecutor(int(sys.argv[1]) if len(sys.argv) > 1 else None) as pool:
        results = dict(pool.map(_cell, cells, chunksize=4))
    late = sum(late_s > 0.0 for late_s, _ in results.values())
    print(f"{late} of {len(results)} cells are late\n")
    for event in EVENTS:
        print(f"\n**{event}**\n")
        print("| next calls |", " | ".join(f"{fleet}" for fleet in FLEETS), "|")
        print("| --- |", " | ".join("---" for _ in FLEETS), "|")
        for next_calls in NEXT_CALLS:
            row = []
            for fleet in FLEETS:
                texts, rates = [], []
                for grace in GRACES_S:
                    late_s, rate = results[event, next_calls, fleet, grace]
                    needed = needed_calls_per_s(event, next_calls, fleet, grace)
                    reason = "none" if needed == float("inf") else f"{needed:.0f}/s"
                    texts.append(f"**{late_s:.1f}** ({reason})" if late_s > 0.0 else f"{late_s:.1f}")
                    rates.append(f"{rate:.1f}")
                row.append(", ".join(texts) + "; " + ", ".join(rates))
            print(f"| {next_calls.name} |", " | ".join(row), "|")


if __name__ == "__main__":
    sys.exit(main())
