"""Admission control of one instance, and statements that occupy its slots."""

import asyncio

import pytest

from heatherpier.limits import Admission, StatementKind
from heatherpier.requests import OverloadedError, Priority

INSTANCE = "assist-core-1-north-a"
EXECUTION_S = 0.01


class Load:
    """Runs statements that each occupy a slot for a while, and records the results."""

    def __init__(self, admission, timers):
        self.admission = admission
        self.timers = timers
        self.ended = []
        self.running = 0
        self.max_running = 0
        self.max_reads = 0
        self._reads = 0

    async def statement(
        self,
        label,
        *,
        priority=Priority.SESSION_READ,
        user="dispatch",
        kind=StatementKind.READ,
        within_s=10.0,
        execution_s=EXECUTION_S,
    ):
        began = self.timers.now()
        try:
            async with self.admission.admit(
                INSTANCE,
                priority=priority,
                deadline=began + within_s,
                user=user,
                kind=kind,
            ):
                self._update_counts(kind, 1)
                try:
                    await self.timers.sleep(execution_s)
                finally:
                    self._update_counts(kind, -1)
                self.ended.append(label)
                return self.timers.now() - began
        except OverloadedError as exc:
            return exc

    def _update_counts(self, kind, change):
        self.running += change
        self._reads += change if kind is not StatementKind.WRITE else 0
        self.max_running = max(self.max_running, self.running)
        self.max_reads = max(self.max_reads, self._reads)

    def start(self, label, **fields):
        return asyncio.create_task(self.statement(label, **fields))


@pytest.fixture
async def load(timers):
    """Returns a load on an instance with three slots and one proxy."""
    admission = Admission(timers=timers)
    yield Load(admission, timers)
    admission.close()
