"""Host that runs balancers for the simulator: reads frames of events, and answers each with their actions.

Invalid input ends the process with one line on standard error and a non-zero exit code. An exception of the
decision module is reported to the simulator as an `INTERNAL_ERROR` record.
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
    """Runs any number of balancers, which share nothing but the lists of servers."""

    def __init__(self) -> None:
        """Begin with no instances."""
        self.balancers: dict[int, Balancer] = {}  # balancers by instance number
        self.lists: dict[int, list[api.Endpoint]] = {}  # lists of servers by their number

    def reply_to(self, body: bytes) -> bytes:
        """Return the reply to one frame, which is given without its length field.

        Raise `FrameError` for an invalid frame, and `SettingError` for invalid settings.
        """
        batch = EventBatch.parse(body)
        reply = Reply()
        for record_offset in batch.record_offsets():
            self._handle_record(batch, record_offset, reply)
        return reply.to_bytes()

    def _handle_record(self, batch: EventBatch, record_offset: int, reply: Reply) -> None:
        """Handle the record at this offset; report an exception of the decision module in the reply."""
        code = batch.body[record_offset]
        (instance,) = INSTANCE.unpack_from(batch.body, record_offset)
        try:
            if code in HOST_EVENTS:
                self._handle_host_event(code, instance, batch, record_offset)
            else:
                self._handle_event(code, instance, batch, record_offset, reply)
        except (FrameError, SettingError):
            raise
        except Exception as error:  # the protocol reports any failure of the decision module
            traceback.print_exc(file=sys.stderr)
            encode_internal_error(instance, f"{type(error).__name__}: {error}", reply)

    def _handle_host_event(self, code: int, instance: int, batch: EventBatch, record_offset: int) -> None:
        """Start or stop the instance, or store a list, which belongs to no instance."""
        match code:
            case EventCode.NEW_INSTANCE:
                new_instance = decode_new_instance(batch, record_offset)
                self.balancers[instance] = Balancer(
                    parse_settings(new_instance.settings_text), new_instance.seed
                )
            case EventCode.STOP:
                self.balancers.pop(instance, None)
            case EventCode.SNAPSHOT_ROWS:
                number, entries = decode_server_list(batch, record_offset)
                self.lists[number] = entries

    def _handle_event(
        self, code: int, instance: int, batch: EventBatch, record_offset: int, reply: Reply
    ) -> None:
        """Let the instance handle an event and append its actions; ignore events of unknown instances."""
        event = decode_event(code, batch, record_offset, self.lists)
        balancer = self.balancers.get(instance)
        if event is None or balancer is None:
            return
        if isinstance(event, api.Request) and event.class_index >= len(balancer.context.settings.classes):
            raise UnknownClassError(event.id, event.class_index)
        encode_actions(instance, balancer.handle(batch.now_ns, event), reply)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each frame until the input ends.

    Raise `FrameError` if a frame is invalid or truncated, and `SettingError` for invalid settings.
    """
    host = Host()
    for body in read_batches(source):
        sink.write(host.reply_to(body))
        sink.flush()


def main() -> int:
    """Serve on standard input and output; return the exit code, 1 after invalid input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (FrameError, SettingError) as error:
        print(f"ochreflow: {error}", file=sys.stderr)
        return 1
    return 0
