"""Stand-in for the platform's services, in memory, with injected faults."""

from dataclasses import dataclass

from heatherpier.stores import (
    ConflictError,
    PlatformUnavailableError,
    Record,
    ThrottledError,
)
from heatherpier.timers import Timers

ANSWER_DELAY_S = 0.005


@dataclass(slots=True)
class PlatformFaults:
    """Faults that a test injects into the platform.

    Attributes:
        down: Every call fails without effect.
        slow_s: Extra delay of each call in seconds.
        lose_answers: Count of upcoming writes whose answer is lost after they took
            effect.
        throttled: Every call is rejected as throttled.
        stale: Reads of records are answered from the copy that
            `MemoryPlatform.serve_stale` took.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    throttled: bool = False
    stale: bool = False


class MemoryPlatform:
    """Implements `TableStore` and `ObjectStore` in memory.

    Args:
        timers: Timer service.

    Attributes:
        faults: Faults to inject.
        records: Records of the table by key.
        objects: Blobs by name.
        reads: Count of reads of records.
    """

    def __init__(self, *, timers: Timers) -> None:
        self.faults = PlatformFaults()
        self.records: dict[str, Record] = {}
        self.objects: dict[str, bytes] = {}
        self.reads = 0
        self._timers = timers
        self._stale_records: dict[str, Record] = {}

    def serve_stale(self) -> None:
        """Copies the records and answers all later reads from the copy."""
        self._stale_records = dict(self.records)
        self.faults.stale = True

    async def get(self, key: str) -> Record | None:
        """Returns the record, or None if there is none."""
        self.reads += 1
        await self._simulate_call()
        records = self._stale_records if self.faults.stale else self.records
        return records.get(key)

    async def put(self, record: Record) -> None:
        """Writes ``record`` if its version follows the stored one.

        Raises:
            ConflictError: Another version is stored.
        """
        await self._simulate_call()
        stored = self.records.get(record.key)
        version = 0 if stored is None else stored.version
        if version != record.version - 1:
            raise ConflictError(
                f"{record.key}: version {version}, expected {record.version - 1}"
            )
        self.records[record.key] = record
        self._maybe_lose_answer()

    async def get_object(self, name: str) -> bytes | None:
        """Returns the blob, or None if there is none."""
        await self._simulate_call()
        return self.objects.get(name)

    async def put_object(self, name: str, body: bytes) -> None:
        """Stores a blob."""
        await self._simulate_call()
        self.objects[name] = body
        self._maybe_lose_answer()

    def _maybe_lose_answer(self) -> None:
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise PlatformUnavailableError("answer lost")

    async def _simulate_call(self) -> None:
        await self._timers.sleep(ANSWER_DELAY_S + self.faults.slow_s)
        if self.faults.throttled:
            raise ThrottledError("too many calls")
        if self.faults.down:
            raise PlatformUnavailableError("platform is down")


class PlatformLink:
    """Path of one proxy to the platform.

    Args:
        platform: The platform.

    Attributes:
        cut: Whether every call fails without reaching the platform.
    """

    def __init__(self, platform: MemoryPlatform) -> None:
        self.cut = False
        self._platform = platform

    def _require_reachable(self) -> MemoryPlatform:
        if self.cut:
            raise PlatformUnavailableError("cut off from the platform")
        return self._platform

    async def get(self, key: str) -> Record | None:
        """Returns the record, or None if there is none."""
        return await self._require_reachable().get(key)

    async def put(self, record: Record) -> None:
        """Writes ``record`` if its version follows the stored one.

        Raises:
            ConflictError: Another version is stored.
        """
        await self._require_reachable().put(record)

    async def get_object(self, name: str) -> bytes | None:
        """Returns the blob, or None if there is none."""
        return await self._require_reachable().get_object(name)

    async def put_object(self, name: str, body: bytes) -> None:
        """Stores a blob."""
        await self._require_reachable().put_object(name, body)
