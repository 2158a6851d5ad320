"""An event loop in simulated time, with the methods that the core uses."""

import heapq
import itertools
from concurrent.futures import Future

from helpers import SECOND, START


class Handle:
    """A timer of the simulated loop."""

    def __init__(self, when, callback, args):
        self.when, self.callback, self.args = when, callback, args
        self.cancelled = False

    def cancel(self):
        self.cancelled = True


class SimulatedLoop:
    """Timers in simulated time. Exceptions that callbacks raise are kept in `callback_errors`."""

    def __init__(self):
        self.now = START
        self.timers = []
        self.order = itertools.count()
        self.callback_errors = []

    def create_future(self):
        return Future()

    def call_later(self, seconds, callback, *args):
        handle = Handle(self.now + max(round(seconds * SECOND), 0), callback, args)
        heapq.heappush(self.timers, (handle.when, next(self.order), handle))
        return handle

    def call_soon(self, callback, *args):
        return self.call_later(0, callback, *args)

    def due_timers(self):
        """Return the timers that are due now, in the order of their times."""
        return [entry for entry in sorted(self.timers) if entry[0] <= self.now and not entry[2].cancelled]

    def fire(self, entry):
        """Run one timer, out of order if the test chooses it so."""
        self.timers.remove(entry)
        heapq.heapify(self.timers)
        handle = entry[2]
        try:
            handle.callback(*handle.args)
        except Exception as error:
            self.callback_errors.append(error)

    def run_until(self, end):
        """Run all timers up to and including `end`, in order."""
        while self.timers and self.timers[0][0] <= end:
            entry = self.timers[0]
            self.now = max(self.now, entry[0])
            if entry[2].cancelled:
                heapq.heappop(self.timers)
            else:
                self.fire(entry)
        self.now = max(self.now, end)
