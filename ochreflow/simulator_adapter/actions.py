"""Encoder for the decision module's actions, as records of the simulator's wire protocol.

Each record is 24 bytes long: code, instance, and then the fields in the order of the protocol's page.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from functools import partial
from typing import Never

from ..policy import interface as api
from .codes import ALL_PEERS, ActionCode
from .frames import Reply


def _packer(code: ActionCode, fields_format: str) -> Callable[..., bytes]:
    """Return a function that packs the instance and the field values into a record with this code."""
    return partial(struct.Struct(f"<BH{fields_format}").pack, int(code))


_pack_share = _packer(ActionCode.SHARE, "III9x")  # recipient; msg: offset, length
_pack_retract = _packer(ActionCode.RETRACT, "QB12x")  # ticket, n
_pack_follow = _packer(ActionCode.FOLLOW, "B20x")  # on
_pack_internal_error = _packer(ActionCode.INTERNAL_ERROR, "II13x")  # msg: offset, length
_pack_hang_up = _packer(ActionCode.HANG_UP, "I17x")  # server
_pack_trace = _packer(ActionCode.TRACE, "II13x")  # msg: offset, length
_pack_touch = _packer(ActionCode.TOUCH, "I17x")  # server
_pack_turn_away = _packer(ActionCode.TURN_AWAY, "QQ5x")  # ticket, come-back-ns
_pack_resolve = _packer(ActionCode.RESOLVE, "21x")
_pack_dispatch = _packer(ActionCode.DISPATCH, "QQIx")  # ticket, timeout-ns, server
_pack_abort = _packer(ActionCode.ABORT, "Q13x")  # ticket
_pack_set_timer = _packer(ActionCode.SET_TIMER, "QI9x")  # after-ns, cookie


def encode_actions(  # noqa: C901 - one short case for each action of the closed union
    instance: int, actions: Iterable[api.Action], reply: Reply
) -> None:
    """Append the records of an instance's actions, in order. The most frequent actions are matched first."""
    append_record = reply.records.append
    for action in actions:
        match action:
            case api.Send():
                append_record(_pack_dispatch(instance, action.id, action.timeout_ns, action.server))
            case api.SetTimer():
                append_record(_pack_set_timer(instance, action.after_ns, action.token))
            case api.Reject():
                append_record(_pack_turn_away(instance, action.id, action.retry_after_ns))
            case api.Fail():
                append_record(_pack_abort(instance, action.id))
            case api.Cancel():
                append_record(_pack_retract(instance, action.id, action.attempt))
            case api.PublishGossip():
                peer = ALL_PEERS if action.peer is None else action.peer
                _append_with_tail(reply, partial(_pack_share, instance, peer), action.data)
            case api.Probe():
                append_record(_pack_touch(instance, action.server))
            case api.CloseIdle():
                append_record(_pack_hang_up(instance, action.server))
            case api.Watch():
                append_record(_pack_follow(instance, action.on))
            case api.Fetch():
                append_record(_pack_resolve(instance))
            case api.Log():
                _append_with_tail(reply, partial(_pack_trace, instance), action.text.encode())
            case _:
                raise _unknown_action(action)


def encode_internal_error(instance: int, text: str, reply: Reply) -> None:
    """Append a record that reports a failure of the decision module for an instance; `text` describes it."""
    _append_with_tail(reply, partial(_pack_internal_error, instance), text.encode())


def _append_with_tail(reply: Reply, pack: Callable[..., bytes], data: bytes) -> None:
    """Append a record that ends with the offset and length of its data, and append the data to the tail."""
    reply.records.append(pack(len(reply.tail), len(data)))
    reply.tail += data


def _unknown_action(action: Never) -> TypeError:
    """Return the error for an action without a case; the type checker reports such a case as well."""
    return TypeError(f"unknown action: {action!r}")
