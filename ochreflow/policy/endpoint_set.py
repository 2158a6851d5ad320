"""The endpoint set: the listed servers, deterministic subsetting of them, and the subscription to their list.

With low traffic a sidecar samples only a subset of the servers, ordered by ranks from its own seed, so that
each of them answers often enough; see deterministic subsetting in Google's SRE book.
"""

from .interface import ListKind, Membership, State, Watch
from .poll_schedule import PollSchedule
from .state_records import SECOND, AttemptKey, Context, Server

WITHOUT_ENTRIES = (ListKind.FAILED, ListKind.RELOCATED, ListKind.PEER_SILENT)
MIN_SUBSET_SIZE = 2  # least number of local servers, and of remote ones: power of two choices needs two
# A subset holds as many servers as the sidecar has requests in this time, as a multiple of the shortest
# deadline: each server gets about one request in that time.
SUBSET_DEADLINES = 1.0
REQUEST_RATE_DEADLINES = 5.0  # averaging time of the request rate, as a multiple of the shortest deadline


class EndpointSet:
    """The servers of the endpoint list, the subset to sample from, and whether their list is watched."""

    def __init__(self, context: Context) -> None:
        """Start without an endpoint list."""
        self.context = context
        self.servers: dict[int, Server] = {}
        # Servers to sample from: ready and not ejected, in this sidecar's zone and in other zones.
        self.local: list[Server] = []
        self.remote: list[Server] = []
        self.ejected: list[Server] = []
        # This sidecar's attempts in flight, except at ejected servers and those that wait for a connection.
        self.inflight = 0
        self.outside_subset: list[Server] = []  # ready servers that are not sampled from
        self.low_traffic = True
        self.ready_count = self.subset_size = 0
        # Number of healthy servers for each sampled one: local, remote.
        self.sampling_weight = [1.0, 1.0]
        self.request_rate = 0.0  # requests of this sidecar a second
        self.request_rate_at = self.first_request_at = 0
        self.subscribed = False
        self.poll_schedule = PollSchedule(context)

    def rebuild(self) -> None:
        """Rebuild the lists to sample from, after a server has changed its state."""
        for server in [s for s in self.servers.values() if not s.listed and not s.in_flight]:
            del self.servers[server.id]  # otherwise memory would grow with every server ever listed
        ready = [server for server in self.servers.values() if server.ready and server.listed]
        self.ready_count = len(ready)
        self.ejected = [server for server in ready if server.ejected]
        own_zone = self.context.settings.zone
        local = [server for server in ready if server.zone == own_zone and not server.ejected]
        remote = [server for server in ready if server.zone != own_zone and not server.ejected]
        size = self.subset_size = self.needed_subset_size()
        # Where servers outnumber sidecars, each sidecar is a large part of a server's load, even if it sends
        # little.
        self.low_traffic = size < len(ready) < self.context.settings.fleet_size
        if self.low_traffic:
            local.sort(key=lambda server: server.rank)  # keeps the same servers while they are healthy
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
        """Return how many local servers, and how many remote ones, to sample from.

        Each of them gets about one request in a shortest deadline.
        """
        return max(
            MIN_SUBSET_SIZE,
            int(self.request_rate * SUBSET_DEADLINES * self.context.shortest_deadline_ns / SECOND),
        )

    def count_request(self) -> None:
        """Count a request of this sidecar, and resize the subset by the request rate."""
        if not self.first_request_at:
            self.first_request_at = self.request_rate_at = self.context.now
        span_ns = min(
            self.context.now - self.first_request_at + self.context.shortest_deadline_ns,
            REQUEST_RATE_DEADLINES * self.context.shortest_deadline_ns,
        )
        self.request_rate = (
            self.request_rate * max(0.0, 1.0 - (self.context.now - self.request_rate_at) / span_ns)
            + SECOND / span_ns
        )
        self.request_rate_at = self.context.now
        size = self.needed_subset_size()
        if size != self.subset_size and min(size, self.subset_size) < self.ready_count:
            self.rebuild()

    def begin_wait(self, server: Server, attempt: AttemptKey) -> None:
        """Stop counting an attempt as in flight while it waits for a connection."""
        if attempt in server.in_flight and attempt not in server.presumed_lost | server.waiting:
            self.inflight -= not server.ejected
            server.waiting.add(attempt)

    def end_wait(self, server: Server, attempt: AttemptKey) -> None:
        """Count an attempt as in flight again: its wait for a connection is over."""
        if attempt in server.waiting:
            server.waiting.discard(attempt)
            self.inflight += not server.ejected

    def apply(self, event: Membership) -> float:
        """Apply an endpoint update; return the share of the sampled servers that remains, at most 1."""
        self._update_subscription(event)
        if event.kind in WITHOUT_ENTRIES:
            return 1.0
        if event.kind is not ListKind.DELTA:
            present = {entry.server for entry in event.entries}
            for known_server in self.servers.values():
                known_server.listed &= known_server.id in present  # a complete list removes absent servers
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

    def _update_subscription(self, event: Membership) -> None:
        """Update whether discovery is watched, and when to poll it; a shared list changes neither."""
        match event.kind:
            case ListKind.FULL | ListKind.DELTA:
                self.subscribed = True
                self.poll_schedule.on_list()
            case ListKind.CACHED:
                self.poll_schedule.on_start()
            case ListKind.FAILED:
                self.subscribed = False
                self.poll_schedule.on_failure(event.failure, event.notified_ns)
            case ListKind.RELOCATED:
                self.subscribed = False
                self.poll_schedule.on_relocation()
            case ListKind.PEER_SILENT if not self.subscribed:
                self.poll_schedule.on_silent_peer()

    def poll(self) -> None:
        """Poll discovery, unless a list has arrived since or a later failure has postponed the poll."""
        if not self.subscribed and self.poll_schedule.take_due_poll():
            self.context.actions.append(Watch(on=True))
