"""The simulator adapter as a whole: framing, settings, several instances, invalid input."""

import io
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from ochreflow.policy import settings
from ochreflow.policy.interface import Effect, Scope
from ochreflow.simulator_adapter import host

ROOT = Path(__file__).parent.parent
SETTINGS_TEXT = """\
accounts.count=1
accounts.0.allowance-per-s=10.0
accounts.0.name=a
accounts.0.share=1.0
ceilings.cancel=true
ceilings.send-cap=3
ceilings.second-copies=true
classes.count=2
classes.0.deadline-ns=1000000000
classes.0.objective-ns=300000000
classes.0.points=1.0
classes.0.repeat=pure
classes.1.deadline-ns=1000000000
classes.1.key-scope=zone
classes.1.repeat=token
classes.1.window-ns=500
dcs=here,there
discovery=push
a.key.of.tomorrow=17
"""


def frame(now, *records, tail=b""):
    body = (
        struct.pack("<QI", now, len(records)) + b"".join(record.ljust(48, b"\0") for record in records) + tail
    )
    return struct.pack("<I", len(body)) + body


def start(instance, text=SETTINGS_TEXT, seed=1, offset=0):
    return struct.pack("<BHQII", 16, instance, seed, offset, len(text))


def inbound(instance, ticket, deadline):
    return struct.pack("<BHQBHQQQB", 18, instance, ticket, 0, 0, 0, deadline, 0, 0)


def entry(server, phase=1):
    return struct.pack("<IHBHBfQ", server, 0, 0, 0, phase, 1.0, 0)


def rows(number, offset, count):
    return struct.pack("<BIII", 26, number, offset, count)


def endpoints(instance, number, scope=2):
    return struct.pack("<BHBII", 17, instance, scope, 1, number)


def serve(data):
    out = io.BytesIO()
    host.serve(io.BytesIO(data), out)
    return out.getvalue()


def records(reply):
    """Return the action records of a reply, and its tail."""
    count, size = struct.unpack_from("<II", reply)
    body = reply[8 : 8 + size]
    return [body[number * 24 : number * 24 + 24] for number in range(count)], body[count * 24 :]


def test_an_empty_batch_gets_an_empty_reply():
    assert serve(frame(5)) == bytes(8)
    assert serve(b"") == b""


def test_a_request_is_answered_with_a_dispatch_record():
    text = SETTINGS_TEXT.encode()
    data = frame(
        10, start(3), rows(0, len(text), 1), endpoints(3, 0), inbound(3, 77, 10**9), tail=text + entry(4242)
    )
    actions, _ = records(serve(data))
    dispatches = [action for action in actions if action[0] == 25]
    assert struct.unpack("<BHQQIx", dispatches[0])[:3] == (25, 3, 77)
    assert struct.unpack("<BHQQIx", dispatches[0])[4] == 4242


def test_an_endpoints_record_uses_the_latest_list_defined_before_it():
    text = SETTINGS_TEXT.encode()
    data = frame(
        10,
        start(1),
        start(2),
        rows(0, len(text), 1),
        endpoints(1, 0),
        rows(0, len(text) + 22, 1),
        endpoints(2, 0),
        inbound(1, 5, 10**9),
        inbound(2, 6, 10**9),
        tail=text + entry(11) + entry(22),
    )
    dispatches = [struct.unpack("<BHQQIx", action) for action in records(serve(data))[0] if action[0] == 25]
    assert {(dispatch[1], dispatch[4]) for dispatch in dispatches} == {(1, 11), (2, 22)}


def test_stop_and_new_start_in_one_batch_discard_the_state_of_the_instance():
    text = SETTINGS_TEXT.encode()
    first = frame(
        10, start(1), rows(0, len(text), 1), endpoints(1, 0), inbound(1, 5, 10**9), tail=text + entry(11)
    )
    settled = struct.pack("<BHQBIHQBB4f", 20, 1, 5, 0, 11, 504, 3, 0, 0, 0, 0, 0, 0)
    stop = struct.pack("<BH", 25, 1)
    second = frame(20, stop, start(1, seed=2), settled, tail=text)
    assert [action for action in records(serve(second))[0] if action[0] in (23, 25, 26)] == []
    output = serve(first + second)
    assert output.startswith(serve(first))


def test_events_of_unknown_instances_are_ignored():
    assert serve(frame(1, inbound(9, 5, 10))) == bytes(8)


def without(key):
    return "\n".join(line for line in SETTINGS_TEXT.splitlines() if not line.startswith(key + "="))


def start_with(text):
    return frame(1, start(4, text), tail=text.encode())


@pytest.mark.parametrize(
    "data",
    [
        frame(1)[:-1],
        b"\x01\x00",
        struct.pack("<I", 4) + b"abcd",
        struct.pack("<IQI", 12, 1, 3),
        struct.pack("<I", 12),
        frame(1, start(0)),
        frame(1, struct.pack("<BIII", 26, 0, 0, 9)),
        frame(1, struct.pack("<BH", 200, 9)),
        frame(1, start(0), endpoints(0, 7), tail=SETTINGS_TEXT.encode()),
        frame(1, start(0), struct.pack("<BHQB", 18, 0, 5, 9), tail=SETTINGS_TEXT.encode()),
        start_with(without("ceilings.send-cap")),
        start_with(SETTINGS_TEXT.replace("send-cap=3", "send-cap=many")),
        start_with(SETTINGS_TEXT.replace("points=1.0", "points=nan")),
        start_with(SETTINGS_TEXT.replace("deadline-ns=1000000000", "deadline-ns=inf")),
        start_with(SETTINGS_TEXT.replace("deadline-ns=1000000000", "deadline-ns=0")),
    ],
)
def test_invalid_input_fails_with_one_line_on_standard_error(data):
    run = subprocess.run(
        [sys.executable, "-m", "ochreflow.simulator_adapter"],
        input=data,
        capture_output=True,
        cwd=ROOT,
        check=False,
    )
    assert run.returncode != 0
    assert run.stdout == b""
    assert run.stderr.startswith(b"ochreflow: ") and run.stderr.count(b"\n") == 1


def test_an_exception_of_the_module_is_reported_as_an_internal_error_with_its_text(monkeypatch):
    def fail(self, now, event):
        raise ZeroDivisionError("of the module")

    monkeypatch.setattr(host.Balancer, "handle", fail)
    text = SETTINGS_TEXT.encode()
    actions, tail = records(serve(frame(1, start(4), inbound(4, 5, 10**9), tail=text)))
    assert actions[0][0] == 19
    assert tail == b"ZeroDivisionError: of the module"


def test_edge_cases_of_valid_input_lead_to_one_rejection_and_no_internal_error():
    """An empty list, a change to an unknown server, an expired deadline, outcomes after the response."""
    text = SETTINGS_TEXT.encode()
    late_outcome = struct.pack("<BHQBIHQBB4f", 20, 1, 5, 0, 11, 504, 3, 1, 0, 0, 0, 0, 0)
    removed_entry = struct.pack("<IHBHBfQ", 99, 0, 0, 0, 0, 0.0, 0)
    parts = [start(1), rows(0, len(text), 0), endpoints(1, 0), rows(1, len(text), 1), endpoints(1, 1, 0)]
    first = frame(10, *parts, inbound(1, 5, 10), late_outcome, late_outcome, tail=text + removed_entry)
    assert [action[0] for action in records(serve(first))[0] if action[0] in (19, 23, 25, 26)] == [23]


def test_settings_are_parsed_and_unknown_keys_ignored():
    parsed = settings.parse_settings(SETTINGS_TEXT)
    assert [spec.effect for spec in parsed.classes] == [Effect.IDEMPOTENT, Effect.IDEMPOTENT_WITH_KEY]
    assert parsed.classes[1].scope is Scope.ZONE
    assert parsed.classes[1].window_ns == 500
    assert parsed.max_attempts == 3 and parsed.hedging and parsed.can_cancel and not parsed.can_probe
    assert parsed.tenants[0].quota_per_s == 10.0


@pytest.mark.parametrize(
    "key", ["classes.count", "classes.0.deadline-ns", "classes.1.repeat", "ceilings.send-cap"]
)
def test_the_error_names_a_missing_or_invalid_required_setting(key):
    lines = [line for line in SETTINGS_TEXT.splitlines() if not line.startswith(key + "=")]
    for text in ("\n".join(lines), "\n".join([*lines, key + "=?"])):
        with pytest.raises(ValueError, match=key):
            settings.parse_settings(text)


@pytest.mark.parametrize(
    ("invalid_keys", "named_key"),
    [
        (("accounts.count", "classes.0.deadline-ns"), "accounts.count"),
        (("classes.0.deadline-ns", "my-zone"), "classes.0.deadline-ns"),
        (("classes.count", "accounts.count"), "classes.count"),
        (("ceilings.send-cap", "rules.drain-grace-ns"), "rules.drain-grace-ns"),
    ],
)
def test_the_error_names_the_first_of_several_invalid_settings(invalid_keys, named_key):
    lines = [line for line in SETTINGS_TEXT.splitlines() if line.split("=", 1)[0] not in invalid_keys]
    with pytest.raises(settings.SettingError, match=named_key):
        settings.parse_settings("\n".join([*lines, *(key + "=?" for key in invalid_keys)]))


def test_the_actions_of_an_instance_do_not_depend_on_other_instances():
    text = SETTINGS_TEXT.encode()

    def batch(instances):
        opening = [start(instance, seed=instance) for instance in instances] + [rows(0, len(text), 4)]
        opening += [endpoints(instance, 0) for instance in instances]
        arrivals = [inbound(instance, 100 * instance + n, 10**9) for n in range(20) for instance in instances]
        return frame(10, *opening, *arrivals, tail=text + b"".join(entry(n) for n in range(4)))

    def actions_of(reply, instance):
        return [action for action in records(reply)[0] if struct.unpack_from("<xH", action)[0] == instance]

    together = serve(batch([1, 2, 3]))
    for instance in (1, 2, 3):
        assert actions_of(together, instance) == actions_of(serve(batch([instance])), instance)
