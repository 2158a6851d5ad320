"""Runs balancers behind the simulator's wire: frames in, events to the balancers, actions out.

It decides nothing. Input that is no frame of the protocol ends the process with one plain line on standard
error and a non-zero exit. An exception of the decision module goes out as the wire's `INTERNAL_ERROR`.
"""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from ..policy import interface as api
from ..policy.balancer import Balancer
from ..policy.settings import SettingError, parse_settings
from .actions import encode_actions, encode_internal_error
from .codes import HOST_EVENTS, EventCode
from .errors import FrameError, UnknownClassError
from .events import INSTANCE, decode_event, decode_new_instance, decode_server_list
from .frames import EventBatch, Reply, read_batches


class Host:
    """Runs any number of balancers behind one pair of streams; they share nothing but lists of servers."""

    def __init__(self) -> None:
        """Begin without any instance."""
        self.balancers: dict[int, Balancer] = {}  # by the number of their instance
        self.lists: dict[int, list[api.Endpoint]] = {}  # by the number of the list

    def reply_to(self, body: bytes) -> bytes:
        """Answer one frame, given without its length field.

        Raises `FrameError` for what is no frame, and `SettingError` for settings that can't be read.
        """
        batch = EventBatch.parse(body)
        reply = Reply()
        for at in batch.record_offsets():
            self._take_record(batch, at, reply)
        return reply.to_bytes()

    def _take_record(self, batch: EventBatch, at: int, reply: Reply) -> None:
        """Handle the record that begins at this offset."""
        code = batch.body[at]
        (instance,) = INSTANCE.unpack_from(batch.body, at)
        try:
            if code in HOST_EVENTS:
                self._take_host_event(code, instance, batch, at)
            else:
                self._take_event(code, instance, batch, at, reply)
        except (FrameError, SettingError):
            raise
        except Exception as error:  # the wire has a word for any failure of the decision module
            traceback.print_exc(file=sys.stderr)
            encode_internal_error(instance, f"{type(error).__name__}: {error}", reply)

    def _take_host_event(self, code: int, instance: int, batch: EventBatch, at: int) -> None:
        """Start or stop the instance, or keep a list, which is of no instance."""
        match code:
            case EventCode.NEW_INSTANCE:
                new = decode_new_instance(batch, at)
                self.balancers[instance] = Balancer(parse_settings(new.settings_text), new.seed)
            case EventCode.STOP:
                self.balancers.pop(instance, None)
            case EventCode.SNAPSHOT_ROWS:
                number, entries = decode_server_list(batch, at)
                self.lists[number] = entries

    def _take_event(self, code: int, instance: int, batch: EventBatch, at: int, reply: Reply) -> None:
        """Give an event to its instance and write down the actions; an unknown instance has none."""
        event = decode_event(code, batch, at, self.lists)
        balancer = self.balancers.get(instance)
        if event is None or balancer is None:
            return
        if isinstance(event, api.Request) and event.class_index >= len(balancer.context.settings.classes):
            raise UnknownClassError(event.id, event.class_index)
        encode_actions(instance, balancer.handle(batch.now_ns, event), reply)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each frame until the input ends.

    Raises `FrameError` where the input is no frame or ends inside one, and `SettingError` for settings that
    can't be read.
    """
    host = Host()
    for body in read_batches(source):
        sink.write(host.reply_to(body))
        sink.flush()


def main() -> int:
    """Serve on the standard streams; the exit code, 1 where the input was broken."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (FrameError, SettingError) as error:
        print(f"ochreflow: {error}", file=sys.stderr)
        return 1
    return 0
