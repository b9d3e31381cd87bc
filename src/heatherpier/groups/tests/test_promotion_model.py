"""Tests every interleaving of the promotion protocol within small bounds."""

from dataclasses import replace

import pytest

from heatherpier.groups.tests.promotion_model import (
    PROTOCOL,
    Attempt,
    Led,
    Node,
    State,
    ViolationError,
    initial,
    search,
)

# A primary appends no entry once its log has at least this length.
MAX_LOG_LENGTH = 2
MAX_STATES = 400_000

TWO_PROPOSERS_OF_ONE_TERM = initial((Attempt("a", 2), Attempt("b", 2)))
TWO_PROPOSERS_OF_TWO_TERMS = initial((Attempt("a", 2), Attempt("b", 3)))
ONE_PROPOSER_TWICE = initial((Attempt("a", 2), Attempt("a", 2)))
# The primary of term 3 has an entry of term 1 that the primary of term 2 lacks.
ENTRY_OF_AN_EARLIER_TERM = State(
    nodes=(
        Node(3, "b", True, 0, (1, 1, 3)),
        Node(3, "b", False, 0, (1,)),
        Node(2, "a", True, 2, (1, 2)),
    ),
    attempts=(Attempt("c", 4),),
    led=(Led(1, 0, (1, 1)), Led(2, 2, (1, 2)), Led(3, 0, (1, 1, 3))),
)

SOUND_STARTS = {
    "two proposers of one term": TWO_PROPOSERS_OF_ONE_TERM,
    "two proposers of two terms": TWO_PROPOSERS_OF_TWO_TERMS,
    "an entry of an earlier term": ENTRY_OF_AN_EARLIER_TERM,
}


def primary_alone_acknowledges(state, name):
    return state.nodes[name].leads


def any_replica_acknowledges(state, name):
    return not state.nodes[name].leads


def choose_any_grant(grants):
    return [name for name, _ in grants]


FAULTS = {
    "acknowledge on the primary alone": (
        replace(PROTOCOL, acknowledges=primary_alone_acknowledges),
        TWO_PROPOSERS_OF_ONE_TERM,
        "lost",
    ),
    "promote without reading positions": (
        replace(PROTOCOL, choose=choose_any_grant),
        TWO_PROPOSERS_OF_ONE_TERM,
        "lost",
    ),
    "promote without a majority": (
        replace(PROTOCOL, grants_needed=1),
        TWO_PROPOSERS_OF_ONE_TERM,
        "lost",
    ),
    "count copies of earlier terms": (
        replace(PROTOCOL, acknowledges=any_replica_acknowledges),
        ENTRY_OF_AN_EARLIER_TERM,
        "lost",
    ),
    "one name for two attempts": (PROTOCOL, ONE_PROPOSER_TWICE, "two primaries"),
}


@pytest.mark.parametrize("name", SOUND_STARTS)
def test_every_interleaving_keeps_acknowledged_writes(name):
    states = search(
        SOUND_STARTS[name],
        PROTOCOL,
        max_log_length=MAX_LOG_LENGTH,
        max_states=MAX_STATES,
    )
    assert states > 100


@pytest.mark.parametrize("name", FAULTS)
def test_search_finds_seeded_fault(name):
    rules, start, violation = FAULTS[name]
    with pytest.raises(ViolationError, match=violation):
        search(start, rules, max_log_length=MAX_LOG_LENGTH, max_states=MAX_STATES)
