"""Admission of statements to instances."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from heatherpier.limits._gate import Gate
from heatherpier.limits._queue import StatementKind, Waiter
from heatherpier.requests import Priority
from heatherpier.timers import Timers

DEFAULT_SLOTS = 3
WRITE_RESERVE = 1


class Admission:
    """Decides when a statement may be sent to an instance.

    Args:
        timers: Timer service.
        slots: Slots of instances that were not configured.
        proxies: Count of proxies that share them.
    """

    def __init__(
        self, *, timers: Timers, slots: int = DEFAULT_SLOTS, proxies: int = 1
    ) -> None:
        self._timers = timers
        self._slots = slots
        self._proxies = proxies
        self._gates: dict[str, Gate] = {}

    def configure(self, instance: str, *, slots: int, proxies: int) -> None:
        """Sets the bounds of one instance; what runs there already goes on.

        Args:
            instance: Name of the instance.
            slots: Statements that it runs at once.
            proxies: Count of proxies that share it.
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
        """Holds a place on an instance for the duration of the context.

        Args:
            instance: Name of the instance.
            priority: Priority class.
            deadline: Monotonic time in seconds when the answer must be given.
            user: User that the statement runs for.
            kind: What the statement does.

        Raises:
            OverloadedError: The place would come too late. Nothing was sent.
        """
        gate = self._gate(instance)
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = Waiter(
            priority=priority, user=user, kind=kind, deadline=deadline, granted=granted
        )
        await gate.enter(waiter)
        began = self._timers.now()
        answered = False
        try:
            yield
            answered = True
        finally:
            delay_s = self._timers.now() - began
            gate.leave(waiter, delay_s=delay_s, answered=answered)

    def expected_wait_s(
        self,
        instance: str,
        *,
        priority: Priority,
        user: str = "",
        kind: StatementKind = StatementKind.READ,
    ) -> float:
        """Returns how long a statement would wait for its place, in seconds."""
        return self._gate(instance).expected_wait_s(priority, user, kind)

    def _gate(self, instance: str) -> Gate:
        if instance not in self._gates:
            self.configure(instance, slots=self._slots, proxies=self._proxies)
        return self._gates[instance]

    def close(self) -> None:
        """Ends the tasks of all gates."""
        for gate in self._gates.values():
            gate.close()
