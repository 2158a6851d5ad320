"""Actions of the decision module, encoded as records of the simulator's wire.

Each record is 24 bytes long: code, instance, and the fields of the wire's page in its order.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from functools import partial
from typing import Never

from ..policy import interface as api
from .codes import ALL_PEERS, ActionCode
from .frames import Reply


def _packer(code: ActionCode, fields: str) -> Callable[..., bytes]:
    """Return what packs a record of this code, given the instance and the fields in this format."""
    return partial(struct.Struct(f"<BH{fields}").pack, int(code))


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
    """Append the records of an instance's actions, in their order. Those that come most often stand first."""
    add = reply.records.append
    for action in actions:
        match action:
            case api.Send():
                add(_pack_dispatch(instance, action.id, action.timeout_ns, action.server))
            case api.SetTimer():
                add(_pack_set_timer(instance, action.after_ns, action.token))
            case api.Reject():
                add(_pack_turn_away(instance, action.id, action.retry_after_ns))
            case api.Fail():
                add(_pack_abort(instance, action.id))
            case api.Cancel():
                add(_pack_retract(instance, action.id, action.attempt))
            case api.PublishGossip():
                peer = ALL_PEERS if action.peer is None else action.peer
                _add_with_tail(reply, partial(_pack_share, instance, peer), action.data)
            case api.Probe():
                add(_pack_touch(instance, action.server))
            case api.CloseIdle():
                add(_pack_hang_up(instance, action.server))
            case api.Watch():
                add(_pack_follow(instance, action.on))
            case api.Fetch():
                add(_pack_resolve(instance))
            case api.Log():
                _add_with_tail(reply, partial(_pack_trace, instance), action.text.encode())
            case _:
                raise _unknown_action(action)


def encode_internal_error(instance: int, text: str, reply: Reply) -> None:
    """Append the record that the decision module has failed for an instance, with a text that says how."""
    _add_with_tail(reply, partial(_pack_internal_error, instance), text.encode())


def _add_with_tail(reply: Reply, pack: Callable[..., bytes], data: bytes) -> None:
    """Append a record whose last two fields are the offset and the length of its data in the tail."""
    reply.records.append(pack(len(reply.tail), len(data)))
    reply.tail += data


def _unknown_action(action: Never) -> TypeError:
    """Let the type checker refuse a union with an action that has no case; at run time, say which it was."""
    return TypeError(f"no action: {action!r}")
