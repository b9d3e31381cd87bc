"""Overload at twice what the instances can do, against its targets."""

import functools

import pytest

from heatherpier.bench._overload import OVERLOAD, UNLOADED, measure_overload
from heatherpier.requests import Priority

GOODPUT_SHARE = 0.9
WRITE_STRETCH = 2


@functools.cache
def measure(load, *, admission=True):
    return measure_overload(load, proxies=4, seed=1, admission=admission, duration_s=5)


def write_p99_ms(figures):
    return figures.classes[Priority.WRITE].p99_ms()


def test_goodput_stays_near_its_best():
    best = max(measure(load).goodput_per_s for load in (1.0, OVERLOAD))
    assert measure(OVERLOAD).goodput_per_s >= GOODPUT_SHARE * best


@pytest.mark.parametrize("admission", [True, False], ids=["product", "baseline"])
def test_writes_keep_their_delay(admission):
    bound_ms = WRITE_STRETCH * write_p99_ms(measure(UNLOADED))
    delay_ms = write_p99_ms(measure(OVERLOAD, admission=admission))
    assert (delay_ms <= bound_ms) is admission


def test_no_write_is_refused():
    assert measure(OVERLOAD).classes[Priority.WRITE].refused == 0
