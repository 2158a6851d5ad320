"""The node model alone: events at given times as input, actions as output."""

import pytest

from ochreflow.lab.arrivals import ArrivalSchedule, ClientLoad, ClientProfile, Idempotency, RequestClass
from ochreflow.lab.node_messages import (
    CloseConnection,
    Collapse,
    NodeProfile,
    NodeRequest,
    RecordEvent,
    Reply,
)
from ochreflow.lab.node_model import DeduplicationGroup, NodeModel


def make_node(dedup_group=None, **profile):
    return NodeModel(NodeProfile("n", mean_work_s={"a": 1.0}, **profile), 1, 0.0, dedup_group)


def node_request(request_id, **options):
    return NodeRequest(request_id, "a", **{"work_factor": 1.0, **options})


def event_kinds(actions):
    return [action.kind for action in actions if isinstance(action, RecordEvent)]


def answer_times(node, end=100.0):
    """Advance the node up to `end`; return the time at which each request was answered, by number."""
    times = {}
    while (due := node.next_event_at()) is not None and due <= end:
        for action in node.advance(due):
            if isinstance(action, Reply):
                times[action.number] = round(due, 3)
    return times


def test_running_requests_share_the_cores():
    node = make_node(cores=2, concurrency=4)
    for number in range(4):
        node.arrive(0.0, number, node_request(f"r{number}"))
    assert answer_times(node) == {0: 2.0, 1: 2.0, 2: 2.0, 3: 2.0}
    node = make_node(cores=2, concurrency=2)
    for number in range(4):
        node.arrive(0.0, number, node_request(f"r{number}"))
    assert answer_times(node) == {0: 1.0, 1: 1.0, 2: 2.0, 3: 2.0}


def test_a_node_with_a_full_queue_is_slower():
    node = make_node(cores=1, queue_capacity=4, crowding_loss=0.5)
    for number in range(5):
        node.arrive(0.0, number, node_request(f"r{number}"))
    times = answer_times(node)
    assert times[0] == 2.0  # at half speed while the queue is full
    assert times[4] - times[3] == pytest.approx(1.0, abs=0.01)  # at full speed once the queue is empty


@pytest.mark.parametrize(("profile", "warm"), [({"warm_up_s": 4.0}, 4.0), ({"warm_up_work_s": 1.5}, None)])
def test_a_node_warms_up_by_elapsed_time_or_by_completed_work(profile, warm):
    node = make_node(cores=1, start_capacity=0.25, **{"warm_up_s": 1e9, **profile})
    node.advance(4.0)
    assert (node.capacity == 1.0) is (warm is not None)
    node = make_node(cores=1, start_capacity=0.25, **{"warm_up_s": 1e9, "overload_factor": 9.0, **profile})
    for number in range(2):
        node.arrive(0.0, number, node_request(f"r{number}"))
    times = answer_times(node)
    assert times[0] > 1.5 and times[1] - times[0] < times[0]
    assert (node.capacity == 1.0) is (warm is None or times[1] >= warm)


def test_cached_keys_expire_and_the_cache_size_is_bounded():
    node = make_node(cores=1, key_cache_ttl_s=100.0, key_cache_size=2, cached_key_cost_factor=0.5)
    for at, (key, duration) in enumerate([("x", 1.0), ("x", 0.5), ("y", 1.0), ("z", 1.0), ("x", 1.0)]):
        node.arrive(10.0 * at, at, node_request(f"r{at}", key=key))
        assert answer_times(node) == {at: 10.0 * at + duration}
    node.arrive(500.0, 9, node_request("late", key="x"))
    assert answer_times(node, 600.0) == {9: 501.0}


def test_a_deduplication_group_drops_duplicates_within_the_window():
    dedup_group = DeduplicationGroup()
    first, second = make_node(dedup_group), make_node(dedup_group)
    assert event_kinds(first.arrive(0.0, 1, node_request("r", idempotency_key="t"))) == ["taken", "began"]
    actions = second.arrive(3.9, 1, node_request("r", idempotency_key="t"))
    assert event_kinds(actions) == ["dropped"] and actions[1] == Reply(1, 200, "n:r")
    assert event_kinds(second.arrive(4.1, 2, node_request("r", idempotency_key="t"))) == ["taken", "began"]
    second.arrive(50.0, 3, node_request("s", idempotency_key="u"))
    assert list(dedup_group.first_seen) == ["u"]
    assert event_kinds(make_node().arrive(0.0, 1, node_request("r", idempotency_key="t"))) == [
        "taken",
        "began",
    ]  # a node of another group


def test_an_abandoned_request_is_not_started():
    node = make_node(cores=1)
    node.arrive(0.0, 1, node_request("r1"))
    node.arrive(0.0, 2, node_request("r2"))
    assert event_kinds(node.abandon(0.5, 2)) == ["put_aside"]
    assert event_kinds(node.abandon(0.5, 1)) == []  # a running request is completed even so
    assert answer_times(node) == {1: 1.0} and node.next_event_at() is None


def test_a_collapsed_node_closes_the_connections_of_new_requests():
    node = make_node(cores=1, start_capacity=0.2, warm_up_s=1e9, queue_capacity=1000)
    actions = [
        action
        for number in range(9)
        for action in node.arrive(0.01 * number, number, node_request(f"r{number}"))
    ]
    assert any(isinstance(action, Collapse) for action in actions) and isinstance(
        actions[-1], CloseConnection
    )
    assert node.next_event_at() is None
    node.restart(50.0)
    assert event_kinds(node.arrive(50.0, 1, node_request("again"))) == ["taken", "began"]


def test_a_control_order_with_an_unknown_fault_is_rejected_and_changes_nothing():
    node = make_node()
    for invalid_order in ({"form": "odd"}, {"speed": 3}, {"spoil": 1.0, "nonsense": 1}):
        with pytest.raises(ValueError, match="unknown fault or malformation"):
            node.control(0.0, invalid_order)
    assert node.faults.malformed_share == 0.0


def test_a_schedule_depends_on_its_seed_and_client_behaviours_do_not_change_other_draws():
    classes = [
        RequestClass("a", 0.7, Idempotency.IDEMPOTENT_WITH_KEY, 2.0, 0.05),
        RequestClass("b", 0.3, Idempotency.IDEMPOTENT, 2.0, 0.02),
    ]

    def scheduled_requests(seed, profile=None):
        arrivals = iter(
            ArrivalSchedule(ClientLoad(classes, 100.0, 50, profile=profile or ClientProfile()), seed)
        )
        return [next(arrivals) for _ in range(500)]

    def common_fields(requests):
        return [(request.due_s, request.request_id, request.key, request.work_factor) for request in requests]

    varied = scheduled_requests(
        1,
        ClientProfile(
            abandon_share=0.2, slow_share=0.1, large_body_share=0.2, cost_hint_share=0.5, max_attempts=3
        ),
    )
    assert (
        common_fields(scheduled_requests(1)) == common_fields(varied) != common_fields(scheduled_requests(2))
    )
    assert (
        60 < sum(request.abandon_after_s > 0 for request in varied) < 140
        and 20 < sum(request.slow for request in varied) < 80
    )
    assert 200 < sum(request.cost_hint_s > 0 for request in varied) < 300
    assert all(request.request_class.name == "a" for request in varied if request.extra_body_bytes)
    keys = [request.key for request in scheduled_requests(1)]
    assert keys.count(0) > 5 * keys.count(40)
