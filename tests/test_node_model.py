"""The node's model by itself: events at given times in, what to do out."""

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


def model(dedup_group=None, **profile):
    return NodeModel(NodeProfile("n", mean_work_s={"a": 1.0}, **profile), 1, 0.0, dedup_group)


def work(ident, **more):
    return NodeRequest(ident, "a", **{"work_factor": 1.0, **more})


def kinds(actions):
    return [action.kind for action in actions if isinstance(action, RecordEvent)]


def ends(node, until=100.0):
    """Let time pass; when each request was answered."""
    times = {}
    while (due := node.next_event_at()) is not None and due <= until:
        for act in node.advance(due):
            if isinstance(act, Reply):
                times[act.number] = round(due, 3)
    return times


def test_running_requests_share_the_cores():
    node = model(cores=2, concurrency=4)
    for number in range(4):
        node.arrive(0.0, number, work(f"r{number}"))
    assert ends(node) == {0: 2.0, 1: 2.0, 2: 2.0, 3: 2.0}
    node = model(cores=2, concurrency=2)
    for number in range(4):
        node.arrive(0.0, number, work(f"r{number}"))
    assert ends(node) == {0: 1.0, 1: 1.0, 2: 2.0, 3: 2.0}


def test_a_node_with_a_full_queue_is_slower():
    node = model(cores=1, queue_capacity=4, crowding_loss=0.5)
    for number in range(5):
        node.arrive(0.0, number, work(f"r{number}"))
    times = ends(node)
    assert times[0] == 2.0  # at first it has half of its speed
    assert times[4] - times[3] == pytest.approx(1.0, abs=0.01)  # alone again, it is as fast as ever


@pytest.mark.parametrize(("profile", "warm"), [({"warm_up_s": 4.0}, 4.0), ({"warm_up_work_s": 1.5}, None)])
def test_a_node_warms_up_by_time_or_by_work(profile, warm):
    node = model(cores=1, start_capacity=0.25, **{"warm_up_s": 1e9, **profile})
    node.advance(4.0)
    assert (node.capacity == 1.0) is (warm is not None)
    node = model(cores=1, start_capacity=0.25, **{"warm_up_s": 1e9, "overload_factor": 9.0, **profile})
    for number in range(2):
        node.arrive(0.0, number, work(f"r{number}"))
    times = ends(node)
    assert times[0] > 1.5 and times[1] - times[0] < times[0]
    assert (node.capacity == 1.0) is (warm is None or times[1] >= warm)


def test_keys_are_known_for_a_while_and_only_so_many():
    node = model(cores=1, key_cache_ttl_s=100.0, key_cache_size=2, cached_key_cost_factor=0.5)
    for at, (key, duration) in enumerate([("x", 1.0), ("x", 0.5), ("y", 1.0), ("z", 1.0), ("x", 1.0)]):
        node.arrive(10.0 * at, at, work(f"r{at}", key=key))
        assert ends(node) == {at: 10.0 * at + duration}
    node.arrive(500.0, 9, work("late", key="x"))
    assert ends(node, 600.0) == {9: 501.0}


def test_a_deduplication_group_drops_duplicates_within_the_window():
    dedup_group = DeduplicationGroup()
    one, other = model(dedup_group), model(dedup_group)
    assert kinds(one.arrive(0.0, 1, work("r", idempotency_key="t"))) == ["taken", "began"]
    acts = other.arrive(3.9, 1, work("r", idempotency_key="t"))
    assert kinds(acts) == ["dropped"] and acts[1] == Reply(1, 200, "n:r")
    assert kinds(other.arrive(4.1, 2, work("r", idempotency_key="t"))) == ["taken", "began"]
    other.arrive(50.0, 3, work("s", idempotency_key="u"))
    assert list(dedup_group.first_seen) == ["u"]
    assert kinds(model().arrive(0.0, 1, work("r", idempotency_key="t"))) == [
        "taken",
        "began",
    ]  # of another pod


def test_an_abandoned_request_is_not_started():
    node = model(cores=1)
    node.arrive(0.0, 1, work("r1"))
    node.arrive(0.0, 2, work("r2"))
    assert kinds(node.abandon(0.5, 2)) == ["put_aside"]
    assert kinds(node.abandon(0.5, 1)) == []  # in hand: it is finished all the same
    assert ends(node) == {1: 1.0} and node.next_event_at() is None


def test_a_collapsed_node_closes_the_connections_of_new_requests():
    node = model(cores=1, start_capacity=0.2, warm_up_s=1e9, queue_capacity=1000)
    acts = [act for number in range(9) for act in node.arrive(0.01 * number, number, work(f"r{number}"))]
    assert any(isinstance(act, Collapse) for act in acts) and isinstance(acts[-1], CloseConnection)
    assert node.next_event_at() is None
    node.restart(50.0)
    assert kinds(node.arrive(50.0, 1, work("again"))) == ["taken", "began"]


def test_an_unknown_order_changes_nothing():
    node = model()
    for wrong in ({"form": "odd"}, {"speed": 3}, {"spoil": 1.0, "nonsense": 1}):
        with pytest.raises(ValueError, match="unknown fault or malformation"):
            node.control(0.0, wrong)
    assert node.faults.malformed_share == 0.0


def test_a_schedule_depends_on_its_seed_and_one_habit_more_leaves_the_rest():
    classes = [
        RequestClass("a", 0.7, Idempotency.IDEMPOTENT_WITH_KEY, 2.0, 0.05),
        RequestClass("b", 0.3, Idempotency.IDEMPOTENT, 2.0, 0.02),
    ]

    def row(seed, profile=None):
        arrivals = iter(
            ArrivalSchedule(ClientLoad(classes, 100.0, 50, profile=profile or ClientProfile()), seed)
        )
        return [next(arrivals) for _ in range(500)]

    def plain(requests):
        return [(request.due_s, request.request_id, request.key, request.work_factor) for request in requests]

    odd = row(
        1,
        ClientProfile(
            abandon_share=0.2, slow_share=0.1, large_body_share=0.2, cost_hint_share=0.5, max_attempts=3
        ),
    )
    assert plain(row(1)) == plain(odd) != plain(row(2))
    assert (
        60 < sum(request.abandon_after_s > 0 for request in odd) < 140
        and 20 < sum(request.slow for request in odd) < 80
    )
    assert 200 < sum(request.cost_hint_s > 0 for request in odd) < 300
    assert all(request.request_class.name == "a" for request in odd if request.extra_body_bytes)
    keys = [request.key for request in row(1)]
    assert keys.count(0) > 5 * keys.count(40)
