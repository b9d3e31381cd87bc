"""Goodput and write delay at twice the capacity of the instances."""

import functools

import pytest

from heatherpier.bench._overload import OVERLOAD, UNLOADED, measure_overload
from heatherpier.requests import Priority

MIN_GOODPUT_FRACTION = 0.9
MAX_WRITE_SLOWDOWN = 2


@functools.cache
def measure(load, *, admission=True):
    return measure_overload(load, proxies=4, seed=1, admission=admission, duration_s=5)


def write_p99_ms(figures):
    return figures.classes[Priority.WRITE].p99_ms()


def test_goodput_under_overload_stays_near_maximum():
    maximum = max(measure(load).goodput_per_s for load in (1.0, OVERLOAD))
    assert measure(OVERLOAD).goodput_per_s >= MIN_GOODPUT_FRACTION * maximum


@pytest.mark.parametrize("admission", [True, False], ids=["product", "baseline"])
def test_admission_bounds_write_delay_under_overload(admission):
    bound_ms = MAX_WRITE_SLOWDOWN * write_p99_ms(measure(UNLOADED))
    delay_ms = write_p99_ms(measure(OVERLOAD, admission=admission))
    assert (delay_ms <= bound_ms) is admission


def test_no_write_is_refused_under_overload():
    assert measure(OVERLOAD).classes[Priority.WRITE].refused == 0
