"""Priorities of reads with and without a hint."""

import pytest

from heatherpier._session import read_priority
from heatherpier.requests import Priority


@pytest.mark.parametrize(
    ("hinted", "accepts_stale", "expected"),
    [
        (None, False, Priority.SESSION_READ),
        (None, True, Priority.AGED_READ),
        (Priority.WRITE, False, Priority.SESSION_READ),
        # A hint of the highest priority is a hint too.
        (Priority.WRITE, True, Priority.SESSION_READ),
        (Priority.BATCH, False, Priority.BATCH),
    ],
)
def test_the_priority_of_a_read(hinted, accepts_stale, expected):
    assert read_priority(hinted, accepts_stale=accepts_stale) is expected
