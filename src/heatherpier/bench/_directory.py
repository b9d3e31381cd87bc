"""Stand-in for the directory of primaries, with the faults of the platform's store."""

from dataclasses import dataclass

from heatherpier.groups import DirectoryError, DirectoryRecord
from heatherpier.timers import Timers


@dataclass(slots=True)
class DirectoryFaults:
    """Faults that a test injects into the directory.

    Attributes:
        down: Every call fails without effect.
        delay_s: Duration of each call in seconds.
        lose_answers: Count of upcoming calls of ``record`` whose answer is lost after
            they took effect.
        stale_reads: Reads return the record before the latest one.
    """

    down: bool = False
    delay_s: float = 0.002
    lose_answers: int = 0
    stale_reads: bool = False


class MemoryDirectory:
    """Implements `heatherpier.groups.Directory` in memory.

    Args:
        timers: Timer service.

    Attributes:
        faults: Faults to inject.
        history: All records of each group, oldest first.
    """

    def __init__(self, *, timers: Timers) -> None:
        self.faults = DirectoryFaults()
        self.history: dict[str, list[DirectoryRecord]] = {}
        self._timers = timers

    async def read(self, group: str) -> DirectoryRecord | None:
        """Returns the record of a group, or None if it has none."""
        await self._answer()
        records = self.history.get(group, [])
        if self.faults.stale_reads:
            records = records[:-1]
        return records[-1] if records else None

    async def record(
        self, record: DirectoryRecord, *, expected_term: int | None
    ) -> bool:
        """Replaces a group's record if the stored one is of ``expected_term``.

        Returns:
            Whether the record was replaced.
        """
        await self._answer()
        records = self.history.setdefault(record.group, [])
        stored_term = records[-1].term if records else None
        if stored_term == expected_term:
            records.append(record)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise DirectoryError("connection reset")
        return stored_term == expected_term

    async def _answer(self) -> None:
        await self._timers.sleep(self.faults.delay_s)
        if self.faults.down:
            raise DirectoryError("connection refused")
