"""Admission control: grants statements their slots on instances."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from heatherpier.limits._gate import Gate
from heatherpier.limits._queue import StatementKind, Waiter
from heatherpier.requests import Priority
from heatherpier.timers import Timers

DEFAULT_SLOTS = 3
# Slots of a primary that reads leave free for writes.
WRITE_RESERVE = 1


class Admission:
    """Decides when a statement may be sent to an instance.

    Args:
        timers: Timer service.
        slots: Number of slots of each instance that `configure` has not set up.
        proxies: Number of proxies that share such an instance.
    """

    def __init__(
        self, *, timers: Timers, slots: int = DEFAULT_SLOTS, proxies: int = 1
    ) -> None:
        self._timers = timers
        self._slots = slots
        self._proxies = proxies
        self._gates: dict[str, Gate] = {}

    def configure(self, instance: str, *, slots: int, proxies: int) -> None:
        """Sets the limits of one instance; statements that run there continue.

        Args:
            instance: Name of the instance.
            slots: Maximum number of statements that the instance runs at once.
            proxies: Number of proxies that share the instance.
        """
        self._gates[instance] = Gate(
            instance,
            slots=slots,
            proxies=proxies,
            reserve=min(WRITE_RESERVE, slots - 1),
            timers=self._timers,
        )

    @asynccontextmanager
    async def admit(
        self,
        instance: str,
        *,
        priority: Priority,
        deadline: float,
        user: str = "",
        kind: StatementKind = StatementKind.READ,
    ) -> AsyncIterator[None]:
        """Holds a slot on an instance for the duration of the context.

        Args:
            instance: Name of the instance.
            priority: Priority class of the statement.
            deadline: Monotonic time in seconds when the caller must have the answer.
            user: User that the statement runs for.
            kind: Kind of the statement.

        Raises:
            OverloadedError: No slot would be free in time. Nothing was sent.
        """
        gate = self._gate(instance)
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = Waiter(
            priority=priority, user=user, kind=kind, deadline=deadline, granted=granted
        )
        await gate.acquire(waiter)
        began = self._timers.now()
        answered = False
        try:
            yield
            answered = True
        finally:
            delay_s = self._timers.now() - began
            gate.release(waiter, delay_s=delay_s, answered=answered)

    def expected_wait_s(
        self,
        instance: str,
        *,
        priority: Priority,
        user: str = "",
        kind: StatementKind = StatementKind.READ,
    ) -> float:
        """Returns how long a new statement would wait for its slot, in seconds."""
        return self._gate(instance).expected_wait_s(priority, user, kind)

    def _gate(self, instance: str) -> Gate:
        if instance not in self._gates:
            self.configure(instance, slots=self._slots, proxies=self._proxies)
        return self._gates[instance]

    def close(self) -> None:
        """Cancels the background tasks of all gates."""
        for gate in self._gates.values():
            gate.close()
