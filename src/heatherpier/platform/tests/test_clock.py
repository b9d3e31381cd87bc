import random

from heatherpier.platform._clock import StoreClock


def test_local_time_is_never_after_the_true_one():
    rng = random.Random(5)
    clock = StoreClock()
    difference = 1234.5
    local = 10.0
    for _ in range(500):
        sent_at = local
        answered_at = sent_at + rng.random() * 0.3
        received_at = answered_at + rng.random() * 0.3
        local_time = clock.earliest_local_time(
            answered_at - difference, sent_at=sent_at, received_at=received_at
        )
        assert sent_at <= local_time <= answered_at + 1e-9
        local = received_at + rng.random()


def test_answer_of_a_long_poll_is_timed_near_its_arrival():
    clock = StoreClock()
    clock.earliest_local_time(0.0, sent_at=10.0, received_at=10.02)
    local_time = clock.earliest_local_time(5.0, sent_at=13.0, received_at=15.02)
    assert local_time == 15.0


def test_answer_after_a_restart_of_the_store_is_timed_at_its_request():
    clock = StoreClock()
    clock.earliest_local_time(500.0, sent_at=10.0, received_at=10.02)
    assert clock.earliest_local_time(1.0, sent_at=20.0, received_at=20.02) == 20.0


def test_bounds_of_an_earlier_epoch_of_the_store_do_not_count():
    clock = StoreClock()
    clock.earliest_local_time(500.0, sent_at=10.0, received_at=10.02)
    # The restored store's clock is 0.01 s ahead, within the time of one call.
    restored = clock.earliest_local_time(
        510.01, sent_at=20.0, received_at=20.02, epoch=1
    )
    assert restored == 20.0
