"""The choice among candidates, which tends to chance as they become alike."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

# Difference of expected waits from which the better of two candidates is certain.
# Below it the share of the better one rises linearly from an even one, so that many
# proxies with the same information do not all choose the same instance.
CERTAIN_S = 0.04


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An instance that may serve a read.

    Attributes:
        name: Name of the instance.
        wait_s: Expected wait there, in seconds.
        extra_s: Fixed cost in seconds, for its distance and its role.
    """

    name: str
    wait_s: float
    extra_s: float = 0.0


def choose(candidates: Sequence[Candidate], rng: random.Random) -> list[Candidate]:
    """Returns all candidates, the chosen one first and the rest by cost.

    Among candidates of equal fixed cost the choice is between two random ones, by
    expected wait. A candidate of a higher fixed cost is chosen only if the expected
    wait of the cheaper one is longer by more than the difference of these costs.

    Args:
        candidates: The instances that may serve the read.
        rng: Random source.
    """
    shuffled = list(candidates)
    rng.shuffle(shuffled)
    shuffled.sort(key=lambda item: item.extra_s)
    if len(shuffled) < 2:
        return shuffled
    chosen = _better_of_first_two(shuffled, rng)
    position = 0
    while (position := _end_of_tier(shuffled, position)) < len(shuffled):
        other = _better_of_first_two(shuffled[position:], rng)
        advantage_s = chosen.wait_s + chosen.extra_s - other.wait_s - other.extra_s
        if rng.random() < advantage_s / CERTAIN_S:
            chosen = other
    rest = [item for item in shuffled if item is not chosen]
    rest.sort(key=lambda item: item.wait_s + item.extra_s)
    return [chosen, *rest]


def _better_of_first_two(ordered: list[Candidate], rng: random.Random) -> Candidate:
    """Returns one of the first two candidates if their fixed costs are equal."""
    first = ordered[0]
    if len(ordered) < 2 or ordered[1].extra_s != first.extra_s:
        return first
    second = ordered[1]
    share = 0.5 + (second.wait_s - first.wait_s) / (2 * CERTAIN_S)
    return first if rng.random() < share else second


def _end_of_tier(ordered: list[Candidate], begin: int) -> int:
    """Returns the index after the last candidate with the fixed cost of ``begin``."""
    extra_s = ordered[begin].extra_s
    end = begin
    while end < len(ordered) and ordered[end].extra_s == extra_s:
        end += 1
    return end
