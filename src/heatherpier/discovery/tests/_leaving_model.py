"""Simulates one proxy that gives work to an instance which leaves.

Only the registry is real. Whatever lies between it and the instance takes as long as the
argument for the margin allows: the proxy hears of the announcement late, runs late, and
its data is on its way for long.
"""

import random

from heatherpier.discovery import DELIVERY_S, InstanceRecord, InstanceRegistry
from heatherpier.upstreams import Instance

DRAIN_S = 7.0
NAME = "claims-1"
# Period of the registry's check of how late the process runs.
CHECK_S = 0.25
# Longest time for which the store's answer with the announcement is held up.
MAX_HELD_UP_S = 4.0
# Longest age of the list at the announcement.
MAX_LIST_AGE_S = 3.2
# Delays by which a process runs late: none, those that the margin covers, and long ones.
LATENESS_S = (0.0, 0.4, 2.0)


class Clock:
    """Time of the model, in place of a timer service."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        """Returns the time in seconds."""
        return self.time

    elapsed = now


class LeavingModel:
    """One run of the model.

    Args:
        seed: Seed of all random choices.

    Attributes:
        arrivals: Times since the announcement at which work reached the instance.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.arrivals: list[float] = []
        self.registry = InstanceRegistry(timers=self.clock, drain_s=DRAIN_S)
        # The process runs up to this much late, for the whole run.
        self.lateness_s = self.rng.choice(LATENESS_S)

    def record(self, *, leaving: bool, sequence: int) -> InstanceRecord:
        """Returns an entry of the instance."""
        return InstanceRecord(
            instance=Instance(
                name=NAME, host="10.0.0.1", port=1, data_centre="a", leaving=leaving
            ),
            service="claims",
            claims_primary=False,
            started_ms=7,
            sequence=sequence,
        )

    def run(self) -> None:
        """Announces that the instance leaves, and sends work all the while."""
        rng, clock = self.rng, self.clock
        self.registry.put(self.record(leaving=False, sequence=1))
        # The process has run late before, as it does now.
        self.registry.note_delay(self.lateness_s)
        announced_at = clock.time
        list_as_of = announced_at - rng.uniform(0.0, MAX_LIST_AGE_S)
        clock.time += rng.uniform(0.0, MAX_HELD_UP_S)
        self.announce(2, list_as_of)
        checked_at = clock.time
        while clock.time < announced_at + 2 * DRAIN_S:
            if rng.random() < 0.02:
                self.disturb(list_as_of)
            if clock.time - checked_at >= CHECK_S:
                checked_at = clock.time
                self.registry.note_delay(rng.uniform(0.5, 1.0) * self.lateness_s)
            if self.registry.accepts_new_work(NAME):
                # The process may stand still between the check and the system call.
                late_s = rng.random() * self.lateness_s
                on_its_way_s = rng.random() * DELIVERY_S
                sent_at = clock.time + late_s
                self.arrivals.append(sent_at + on_its_way_s - announced_at)
            clock.time += 0.02

    def announce(self, sequence: int, list_as_of: float) -> None:
        """Hands the registry an entry that says that the instance leaves."""
        self.registry.put(
            self.record(leaving=True, sequence=sequence),
            list_age_s=self.clock.time - list_as_of,
        )

    def disturb(self, list_as_of: float) -> None:
        """Drops the entry and brings it back, also one from before it left."""
        self.registry.remove(NAME, reason="model")
        if self.rng.random() < 0.5:
            self.registry.put(
                self.record(leaving=False, sequence=0),
                may_be_old=True,
                list_age_s=0.0,
            )
        self.announce(3, self.clock.time)
