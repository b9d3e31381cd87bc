"""Order of waiters: properties of the queue, and of its estimates."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherpier.limits import FairQueue, QueueEntry
from heatherpier.limits._class_queue import COST_MARGIN
from heatherpier.limits._fair_queue import MAX_OVERTAKEN_S

OBJECTIVES_S = {"short": 0.5, "session": 1.0, "long": 2.5}
COSTS_S = {"short": 0.011, "session": 0.033, "long": 0.055}


def make_entry(now=0.0, *, organisation="a", name="short", priority=1, **fields):
    fields = {
        "objective_at": now + OBJECTIVES_S[name],
        "deadline": now + 10.0,
        "cost_s": COSTS_S[name],
    } | fields
    return QueueEntry(
        organisation=organisation,
        class_name=name,
        priority=priority,
        objective_s=OBJECTIVES_S[name],
        **fields,
    )


def pop_all(queue, now=0.0):
    found = []
    while (entry := queue.pop(now)) is not None:
        found.append(entry)
    return found


ENTRIES = st.tuples(
    st.sampled_from("abcd"), st.sampled_from(sorted(COSTS_S)), st.integers(0, 1)
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), ENTRIES),
        st.tuples(st.just("pop"), st.sampled_from([None, "a", "b"])),
        st.tuples(st.just("discard"), st.integers(0, 20)),
        st.tuples(st.just("shed"), st.none()),
        st.tuples(st.just("wait"), st.floats(0.001, 0.6)),
    ),
    max_size=80,
)


@given(STEPS)
def test_no_entry_is_lost_or_served_twice(steps):
    # A lost entry would wait until its deadline; one served twice would take a
    # connection that nobody returns.
    queue = FairQueue(max_entries=10)
    now, waiting = 0.0, []
    for step, value in steps:
        match step:
            case "push":
                organisation, name, priority = value
                entry = make_entry(
                    now, organisation=organisation, name=name, priority=priority
                )
                waiting.append(entry)
                rejected = queue.push(entry, now)
                if rejected is not None:
                    waiting.remove(rejected)
            case "pop":
                entry = queue.pop(now, value)
                assert (entry is None) == (not waiting)
                if entry is not None:
                    waiting.remove(entry)
            case "discard" if value < len(waiting):
                assert queue.discard(waiting[value], now)
                assert not queue.discard(waiting.pop(value), now)
            case "shed":
                for item in queue.shed(now):
                    waiting.remove(item.entry)
            case "wait":
                now += value
        assert len(queue) == len(waiting) <= 10
        assert set(queue) == set(waiting)
    assert set(pop_all(queue, now)) == set(waiting)


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.floats(0.001, 0.1)), max_size=60),
    st.integers(0, 60),
)
def test_organisations_that_wait_get_equal_shares_of_a_class(items, served):
    # The bound of start-time fair queueing: while two organisations wait, what they
    # are served differs by at most their largest costs.
    queue = FairQueue()
    for organisation, cost_s in items:
        queue.push(make_entry(organisation=organisation, cost_s=cost_s), 0.0)
    got = dict.fromkeys("abc", 0.0)
    largest = {
        name: max((cost for other, cost in items if other == name), default=0.0)
        for name in got
    }
    for _ in range(served):
        waiting = {entry.organisation for entry in queue}
        for one in waiting:
            for other in waiting:
                bound = largest[one] + largest[other] + 1e-9
                assert abs(got[one] - got[other]) <= bound
        entry = queue.pop(0.0)
        if entry is not None:
            got[entry.organisation] += entry.cost_s


@given(
    st.lists(st.sampled_from(["short", "session"]), max_size=150),
    st.floats(0.005, 0.03),
)
def test_a_class_is_served_within_its_objective_while_others_are(arrivals, step_s):
    # Without the rule, classes of short objectives that fill the capacity keep long
    # reads waiting for ever.
    queue = FairQueue()
    queue.push(make_entry(name="long", objective_at=100.0, deadline=200.0), 0.0)
    now = 0.0
    for name in [*arrivals, *["short"] * int(3 / step_s)]:
        now += step_s
        queue.push(make_entry(now, name=name), now)
        if queue.pop(now).class_name == "long":
            break
    assert now <= OBJECTIVES_S["long"] + step_s


@given(
    st.text("bcdefg", min_size=1, max_size=20),
    st.lists(st.floats(0.0, 0.05), min_size=30, max_size=30),
)
def test_nobody_is_overtaken_for_longer_than_stated(others, steps_s):
    # An organisation whose connections are freed again and again would else keep all
    # others waiting.
    queue = FairQueue()
    now = 0.0
    for organisation in [*others, *"a" * len(steps_s)]:
        queue.push(make_entry(organisation=organisation, objective_at=100.0), now)
    for step_s in steps_s:
        overtakes = queue.overtakes
        queue.pop(now, "a")
        if queue.overtakes > overtakes:
            since = [entry.overtaken_since for entry in queue]
            longest = max(now - at for at in since if at is not None)
            assert longest < MAX_OVERTAKEN_S
        now += step_s


def test_an_organisation_that_sends_much_waits_behind_itself():
    queue = FairQueue()
    for _ in range(50):
        queue.push(make_entry(organisation="hot"), 0.0)
    queue.pop(0.0)
    queue.push(make_entry(organisation="calm"), 0.0)
    assert "calm" in [queue.pop(0.0).organisation for _ in range(2)]


def test_the_class_with_the_least_slack_is_first_within_a_priority():
    queue = FairQueue()
    for name in ("long", "session", "short"):
        queue.push(make_entry(name=name), 0.0)
    queue.push(make_entry(name="long", priority=0), 0.0)
    order = [(entry.priority, entry.class_name) for entry in pop_all(queue)]
    assert order == [(0, "long"), (1, "short"), (1, "session"), (1, "long")]


def test_entries_on_time_are_served_before_those_that_are_late():
    # After a loss of power, the queue would otherwise stay full of late entries and
    # make all that arrive later late as well.
    queue = FairQueue()
    late = make_entry(0.0)
    queue.push(late, 0.0)
    now = late.objective_at - COSTS_S["short"] * COST_MARGIN + 0.001
    on_time = make_entry(now, organisation="b")
    queue.push(on_time, now)
    assert pop_all(queue, now) == [on_time, late]


def test_a_full_queue_rejects_the_newest_of_the_largest_organisation():
    queue = FairQueue(max_entries=4)
    newest = make_entry(organisation="large", name="long")
    for entry in (
        make_entry(organisation="small"),
        make_entry(organisation="small"),
        make_entry(organisation="large", name="long"),
        newest,
    ):
        assert queue.push(entry, 0.0) is None
    assert queue.push(make_entry(organisation="calm"), 0.0) is newest


def test_a_freed_connection_goes_to_its_organisation_if_that_is_among_the_next():
    # A connection of another organisation is closed and opened anew, which occupies a
    # slot of the instance for 12 ms.
    queue = FairQueue()
    for organisation in "ab":
        queue.push(make_entry(organisation=organisation), 0.0)
    assert queue.pop(0.0, "b").organisation == "b"
    assert queue.overtakes == 1


def test_entries_that_others_pushed_back_are_shed_when_that_shows():
    queue = FairQueue(rate=1.0)
    pushed_back = make_entry(name="long", deadline=0.6)
    queue.push(pushed_back, 0.0)
    assert queue.shed(0.0) == []
    for _ in range(30):
        entry = make_entry(name="session", priority=0, objective_at=100.0)
        queue.push(entry, 0.0)
    (item,) = queue.shed(0.0)
    assert item.entry is pushed_back
    assert item.wait_s > 0.6


def test_the_expected_wait_follows_the_measured_rate():
    # An honest time to retry: a caller that is told half of the real wait is refused
    # again, and has few attempts.
    queue = FairQueue(rate=4.0)
    now = 0.0
    for _ in range(200):
        queue.push(make_entry(objective_at=100.0, deadline=100.0), now)
    for _ in range(100):
        now += 0.011
        queue.pop(now)
    wait_s = queue.expected_wait_s(make_entry(now, objective_at=100.0), now)
    assert wait_s == pytest.approx(101 * 0.011, rel=0.3)


def test_refused_callers_return_one_after_the_other():
    # All would return in one moment, be refused again and have used up their attempts.
    queue = FairQueue(rate=2.0)
    returns_s = [queue.book_return_s(make_entry(name="long"), 0.0) for _ in range(20)]
    assert returns_s == sorted(set(returns_s))
    assert returns_s[-1] == pytest.approx(20 * COSTS_S["long"] / 2.0)
