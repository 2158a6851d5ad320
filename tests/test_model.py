"""The node's model by itself: events at given times in, what to do out."""

import pytest

from ochreflow.lab.arrivals import Arrivals, Habits, Kind
from ochreflow.lab.node_model import Cut, Fall, Model, Note, Pod, Reply, Traits, Work


def model(pod=None, **traits):
    return Model(Traits("n", work={"a": 1.0}, **traits), 1, 0.0, pod)


def work(ident, **more):
    return Work(ident, "a", **{"times": 1.0, **more})


def whats(acts):
    return [act.what for act in acts if isinstance(act, Note)]


def ends(node, until=100.0):
    """Let time pass; when each request was answered."""
    times = {}
    while (due := node.next_at()) is not None and due <= until:
        for act in node.advance(due):
            if isinstance(act, Reply):
                times[act.number] = round(due, 3)
    return times


def test_what_is_in_hand_shares_the_cores():
    node = model(cores=2, slots=4)
    for number in range(4):
        node.arrive(0.0, number, work(f"r{number}"))
    assert ends(node) == {0: 2.0, 1: 2.0, 2: 2.0, 3: 2.0}
    node = model(cores=2, slots=2)
    for number in range(4):
        node.arrive(0.0, number, work(f"r{number}"))
    assert ends(node) == {0: 1.0, 1: 1.0, 2: 2.0, 3: 2.0}


def test_a_crowded_node_thrashes():
    node = model(cores=1, room=4, crowding=0.5)
    for number in range(5):
        node.arrive(0.0, number, work(f"r{number}"))
    times = ends(node)
    assert times[0] == 2.0  # at first it has half of its speed
    assert times[4] - times[3] == pytest.approx(1.0, abs=0.01)  # alone again, it is as fast as ever


@pytest.mark.parametrize(("traits", "warm"), [({"warm_within": 4.0}, 4.0), ({"warm_work": 1.5}, None)])
def test_a_cold_node_warms_by_time_or_by_work(traits, warm):
    node = model(cores=1, start_capacity=0.25, **{"warm_within": 1e9, **traits})
    node.advance(4.0)
    assert (node.capacity == 1.0) is (warm is not None)
    node = model(cores=1, start_capacity=0.25, **{"warm_within": 1e9, "overload_factor": 9.0, **traits})
    for number in range(2):
        node.arrive(0.0, number, work(f"r{number}"))
    times = ends(node)
    assert times[0] > 1.5 and times[1] - times[0] < times[0]
    assert (node.capacity == 1.0) is (warm is None or times[1] >= warm)


def test_keys_are_known_for_a_while_and_only_so_many():
    node = model(cores=1, remembers=100.0, keys=2, known_costs=0.5)
    for at, (key, took) in enumerate([("x", 1.0), ("x", 0.5), ("y", 1.0), ("z", 1.0), ("x", 1.0)]):
        node.arrive(10.0 * at, at, work(f"r{at}", key=key))
        assert ends(node) == {at: 10.0 * at + took}
    node.arrive(500.0, 9, work("late", key="x"))
    assert ends(node, 600.0) == {9: 501.0}


def test_a_pod_drops_repeats_within_the_window_and_forgets_them():
    pod = Pod()
    one, other = model(pod), model(pod)
    assert whats(one.arrive(0.0, 1, work("r", token="t"))) == ["taken", "began"]
    acts = other.arrive(3.9, 1, work("r", token="t"))
    assert whats(acts) == ["dropped"] and acts[1] == Reply(1, 200, "n:r")
    assert whats(other.arrive(4.1, 2, work("r", token="t"))) == ["taken", "began"]
    other.arrive(50.0, 3, work("s", token="u"))
    assert list(pod.done) == ["u"]
    assert whats(model().arrive(0.0, 1, work("r", token="t"))) == ["taken", "began"]  # of another pod


def test_what_nobody_waits_for_is_not_begun():
    node = model(cores=1)
    node.arrive(0.0, 1, work("r1"))
    node.arrive(0.0, 2, work("r2"))
    assert whats(node.leave(0.5, 2)) == ["put_aside"]
    assert whats(node.leave(0.5, 1)) == []  # in hand: it is finished all the same
    assert ends(node) == {1: 1.0} and node.next_at() is None


def test_a_cold_node_that_falls_cuts_what_comes():
    node = model(cores=1, start_capacity=0.2, warm_within=1e9, room=1000)
    acts = [act for number in range(9) for act in node.arrive(0.01 * number, number, work(f"r{number}"))]
    assert any(isinstance(act, Fall) for act in acts) and isinstance(acts[-1], Cut)
    assert node.next_at() is None
    node.begin(50.0)
    assert whats(node.arrive(50.0, 1, work("again"))) == ["taken", "began"]


def test_an_unknown_order_changes_nothing():
    node = model()
    for wrong in ({"form": "odd"}, {"speed": 3}, {"spoil": 1.0, "nonsense": 1}):
        with pytest.raises(ValueError, match="no such trouble"):
            node.order(0.0, wrong)
    assert node.trouble.spoil == 0.0


def test_a_row_of_arrivals_is_its_seed_s_and_a_habit_more_leaves_the_rest():
    kinds = [Kind("a", 0.7, "keyed", 2.0, 0.05), Kind("b", 0.3, "safe", 2.0, 0.02)]

    def row(seed, habits=None):
        arrivals = iter(Arrivals(kinds, 100.0, 50, seed, habits=habits))
        return [next(arrivals) for _ in range(500)]

    def plain(dues):
        return [(due.at, due.ident, due.key, due.work) for due in dues]

    odd = row(1, Habits(leaving=0.2, slow=0.1, long=0.2, hinted=0.5, tries=3))
    assert plain(row(1)) == plain(odd) != plain(row(2))
    assert 60 < sum(due.leaves > 0 for due in odd) < 140 and 20 < sum(due.slow for due in odd) < 80
    assert 200 < sum(due.hint > 0 for due in odd) < 300
    assert all(due.kind.name == "a" for due in odd if due.body)
    keys = [due.key for due in row(1)]
    assert keys.count(0) > 5 * keys.count(40)
