"""The directory of primaries, kept by the platform's table service.

The directory is how others find out. It never decides: the terms that the
instances have adopted do.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from heatherpier.groups._errors import DirectoryError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("groups")

ANSWER_S = 2.0
INITIAL_RETRY_S = 0.5
MAX_RETRY_S = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DirectoryRecord:
    """Who is the primary of a group.

    Attributes:
        group: Name of the group.
        term: Term of the primary.
        primary: Name of the instance.
        proposer: Who promoted it.
    """

    group: str
    term: int
    primary: str
    proposer: str


class Directory(Protocol):
    """Records of primaries that all proxies can read."""

    async def read(self, group: str) -> DirectoryRecord | None:
        """Returns the record of a group, or None if it has none.

        Raises:
            DirectoryError: No answer came.
        """

    async def record(
        self, record: DirectoryRecord, *, expected_term: int | None
    ) -> bool:
        """Replaces a group's record if the stored one is of ``expected_term``.

        Args:
            record: The new record.
            expected_term: Term of the stored record, or None if there must be none.

        Returns:
            Whether the record was stored.

        Raises:
            DirectoryError: No answer came. The record may have been stored.
        """


async def record_primary(
    directory: Directory, record: DirectoryRecord, *, timers: Timers
) -> None:
    """Records a primary, trying again until it or a later one is stored.

    Args:
        directory: Where to record it.
        record: The record.
        timers: Timer service.
    """
    retry_s = INITIAL_RETRY_S
    while True:
        try:
            async with timers.timeout(ANSWER_S):
                if await _record_once(directory, record):
                    return
        except (DirectoryError, TimeoutError) as exc:
            log.warning(
                "directory not updated",
                group=record.group,
                term=record.term,
                cause=str(exc) or "no answer",
                retry_s=retry_s,
            )
        await timers.sleep(retry_s)
        retry_s = min(retry_s * 2, MAX_RETRY_S)


async def _record_once(directory: Directory, record: DirectoryRecord) -> bool:
    known = await directory.read(record.group)
    if known is not None and known.term >= record.term:
        return True
    expected = known.term if known is not None else None
    return await directory.record(record, expected_term=expected)


class DirectoryRecorder:
    """Records the promotions of one group in the background.

    Args:
        directory: Where to record them, or None for nowhere.
        timers: Timer service.
        start: Runs the work as a task that ends with the group at the latest.
    """

    def __init__(
        self,
        directory: Directory | None,
        *,
        timers: Timers,
        start: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        self._directory = directory
        self._timers = timers
        self._start = start
        self._task: asyncio.Task[None] | None = None

    def submit(self, record: DirectoryRecord) -> None:
        """Records a primary in place of any earlier one not yet recorded."""
        if self._task is not None:
            self._task.cancel()
        if self._directory is None:
            return
        work = record_primary(self._directory, record, timers=self._timers)
        self._task = self._start(work)
