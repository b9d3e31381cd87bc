"""One admission and a way to hold places on an instance."""

import asyncio

import pytest

from heatherpier.limits import Admission, StatementKind
from heatherpier.requests import OverloadedError, Priority

INSTANCE = "assist-core-1-north-a"
WORK_S = 0.01


class Load:
    """Statements that each hold a place for a while, and what became of them."""

    def __init__(self, admission, timers):
        self.admission = admission
        self.timers = timers
        self.ended = []
        self.running = 0
        self.most_running = 0
        self.most_reads = 0
        self._reads = 0

    async def statement(
        self,
        label,
        *,
        priority=Priority.SESSION_READ,
        user="dispatch",
        kind=StatementKind.READ,
        within_s=10.0,
        work_s=WORK_S,
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
                self._enter(kind, 1)
                try:
                    await self.timers.sleep(work_s)
                finally:
                    self._enter(kind, -1)
                self.ended.append(label)
                return self.timers.now() - began
        except OverloadedError as exc:
            return exc

    def _enter(self, kind, change):
        self.running += change
        self._reads += change if kind is not StatementKind.WRITE else 0
        self.most_running = max(self.most_running, self.running)
        self.most_reads = max(self.most_reads, self._reads)

    def start(self, label, **fields):
        return asyncio.create_task(self.statement(label, **fields))


@pytest.fixture
async def load(timers):
    """Returns a load on an instance with three slots that one proxy uses."""
    admission = Admission(timers=timers)
    yield Load(admission, timers)
    admission.close()
