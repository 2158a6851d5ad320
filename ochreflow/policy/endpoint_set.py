"""The endpoint set: deterministic subsetting of the listed servers, and the polls of discovery.

Where each sidecar sends little, it keeps to few servers, ordered by ranks of its own seed, so that it hears
from each often enough; as in deterministic subsetting of Google's SRE book. Polls back off after a failure,
with jitter.
"""

from .interface import ListKind, Membership, State, Watch
from .state_records import POLL, SECOND, Context, ScheduledTimer, Server

MIN_SUBSET_SIZE = 2  # servers of each side (own zone, others): a pick of two needs two
# ... or as many as get a request in so many shortest deadlines: each is heard from so often.
SUBSET_DEADLINES = 1.0
REQUEST_RATE_DEADLINES = 5.0  # shortest deadlines over which the own requests are counted

# Polls of discovery, as parts of the polling interval.
MIN_POLL_SPREAD = 0.05  # the first call is spread over this
# ... or over so much for each sidecar, where that is more: one service serves all.
POLL_SPREAD_PER_SIDECAR = 0.007
MAX_POLL_SPREAD = 0.6  # ... doubling up to this
MIN_POLL_DELAY = 0.1  # of the span at the least, to leave a failing registry alone
MIN_STEADY_POLL_DELAY = 0.75  # ... once it grows no more: calls are spread by then, and fewer of them do

# By the protocol: what discovery has counts as notified then, also after a failed call.
LIST_DEADLINE_NS = 6 * SECOND
# By the protocol: a poll is answered or rejected within this; so long is a connect timeout.
POLL_TIMEOUT_NS = 2 * SECOND


class EndpointSet:
    """The servers of the list, the subset to sample from, and the polls of discovery."""

    def __init__(self, context: Context) -> None:
        """Start without a list."""
        self.context = context
        self.servers: dict[int, Server] = {}
        self.local: list[Server] = []  # ready and not ejected, in the own zone
        self.remote: list[Server] = []
        self.ejected: list[Server] = []
        self.inflight = 0  # own attempts out, but for those at ejected servers
        self.outside_subset: list[Server] = []  # those that are not sampled from
        self.low_traffic = True
        self.ready_count = self.subset_size = 0
        self.sampling_weight = [1.0, 1.0]  # ready servers near and far for each one sampled
        self.request_rate = 0.0  # own requests a second
        self.request_rate_at = self.first_request_at = 0
        self.subscribed = False
        self.poll_at = 0  # 0: no call is due
        self.poll_spread_ns = 0.0  # over which the latest poll after a failure was spread; 0: none has failed
        self.poll_started_at = 0  # when the latest call began, as far as is known

    def rebuild(self) -> None:
        """Rebuild the lists to sample from; only when a server changes state."""
        for server in [s for s in self.servers.values() if not s.listed and not s.in_flight]:
            del self.servers[server.id]  # else memory grows with every server that ever was
        ready = [server for server in self.servers.values() if server.ready and server.listed]
        self.ready_count = len(ready)
        self.ejected = [server for server in ready if server.ejected]
        here = self.context.settings.zone
        local = [server for server in ready if server.zone == here and not server.ejected]
        remote = [server for server in ready if server.zone != here and not server.ejected]
        size = self.subset_size = self.needed_subset_size()
        # Where servers outnumber sidecars each makes much of a server's load, whatever it sends just now.
        self.low_traffic = size < len(ready) < self.context.settings.fleet_size
        if self.low_traffic:
            local.sort(key=lambda server: server.rank)  # the same ones as long as they are fit
            remote.sort(key=lambda server: server.rank)
        else:
            size = len(ready)
        self.local, self.remote, self.outside_subset = (
            local[:size],
            remote[:size],
            local[size:] + remote[size:],
        )
        self.sampling_weight = [len(local) / max(len(self.local), 1), len(remote) / max(len(self.remote), 1)]

    def needed_subset_size(self) -> int:
        """Servers of a side to sample from: so few that each is heard from about once a deadline."""
        return max(
            MIN_SUBSET_SIZE,
            int(self.request_rate * SUBSET_DEADLINES * self.context.shortest_deadline_ns / SECOND),
        )

    def count_request(self) -> None:
        """Count an own request, and size the subset by their rate."""
        if not self.first_request_at:
            self.first_request_at = self.request_rate_at = self.context.now
        span = min(
            self.context.now - self.first_request_at + self.context.shortest_deadline_ns,
            REQUEST_RATE_DEADLINES * self.context.shortest_deadline_ns,
        )
        self.request_rate = (
            self.request_rate * max(0.0, 1.0 - (self.context.now - self.request_rate_at) / span)
            + SECOND / span
        )
        self.request_rate_at = self.context.now
        size = self.needed_subset_size()
        if size != self.subset_size and min(size, self.subset_size) < self.ready_count:
            self.rebuild()

    def apply(self, event: Membership) -> float:
        """Apply a list or changes; return the part of the servers sampled from that remains, at most 1."""
        if event.kind is ListKind.CACHED:
            self.schedule_poll()  # restarted ones: not all at once
        elif event.kind is ListKind.FAILED:
            self.subscribed = False
            self.schedule_poll()
            return 1.0
        else:
            self.subscribed = True
            self.poll_spread_ns = 0.0
            self.poll_started_at = self.context.now
        if event.kind is not ListKind.DELTA:
            present = {entry.server for entry in event.entries}
            for known in self.servers.values():
                known.listed &= known.id in present  # absent from a complete list: gone
        for entry in event.entries:
            server = self.servers.get(entry.server)
            if server is None:
                self.servers[entry.server] = Server(entry, self.context.random.random(), self.context.now)
            elif entry.started_ns != server.started or (entry.state is State.READY and not server.ready):
                if server.ejected:
                    self.inflight += server.awaited_count()
                server.restart(entry, self.context.now)
            else:
                server.ready = entry.state is State.READY
                server.zone, server.cell = entry.zone, entry.cell
            self.servers[entry.server].listed = entry.state is not State.REMOVED
        before = len(self.local) + len(self.remote)
        self.rebuild()
        after = len(self.local) + len(self.remote)
        return after / before if 0 < after < before else 1.0

    def schedule_poll(self) -> None:
        """Ask again, over a span that spreads the calls of all sidecars and yet tells this one in time.

        Unspread, what had waited too long was worked on too, and none got a list. Discovery may be back since
        the failed call began: what that took, the span and an answer fit into LIST_DEADLINE_NS and the grace.
        """
        settings, hung = self.context.settings, self.context.now - self.poll_started_at
        if not settings.polling_required:
            return
        first = settings.polling_interval_ns * max(
            MIN_POLL_SPREAD, POLL_SPREAD_PER_SIDECAR * settings.fleet_size
        )
        failed_for = hung * (hung <= 2 * POLL_TIMEOUT_NS)  # a longer call was answered meanwhile
        max_spread = LIST_DEADLINE_NS + settings.drain_grace_ns - POLL_TIMEOUT_NS - failed_for
        backoff = max(first, 2 * self.poll_spread_ns)
        span = min(backoff, settings.polling_interval_ns * MAX_POLL_SPREAD, max_spread)
        min_delay = MIN_STEADY_POLL_DELAY if self.poll_spread_ns >= span else MIN_POLL_DELAY
        self.poll_spread_ns = span
        self.poll_at = self.context.now + int(span * self.context.random.uniform(min_delay, 1.0)) + 1
        self.context.schedule(ScheduledTimer(self.poll_at, POLL))

    def poll(self) -> None:
        """Ask discovery for the list, if no list or later failure has come since it was planned."""
        if (
            not self.subscribed and 0 < self.poll_at <= self.context.now
        ):  # else a later failure has put it off
            self.poll_at, self.poll_started_at = 0, self.context.now
            self.context.actions.append(Watch(on=True))
