"""Records the primaries of groups in the platform's table service.

The directory only informs others. The terms that the instances have adopted
decide which instance is the primary.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from heatherpier.groups._errors import DirectoryError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("groups")

ANSWER_TIMEOUT_S = 2.0
INITIAL_RETRY_S = 0.5
MAX_RETRY_S = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DirectoryRecord:
    """The primary of a group in one term.

    Attributes:
        group: Name of the group.
        term: Term of the primary.
        primary: Name of the instance.
        proposer: Proposer that had it promoted.
    """

    group: str
    term: int
    primary: str
    proposer: str


class Directory(Protocol):
    """Store of the groups' primaries that all proxies can read."""

    async def read(self, group: str) -> DirectoryRecord | None:
        """Returns the record of a group, or None if it has none.

        Raises:
            DirectoryError: The directory did not answer.
        """

    async def record(
        self, record: DirectoryRecord, *, expected_term: int | None
    ) -> bool:
        """Replaces a group's record if the stored one has ``expected_term``.

        Args:
            record: The new record.
            expected_term: Term of the stored record, or None if none must be stored.

        Returns:
            Whether the record was stored.

        Raises:
            DirectoryError: The directory did not answer. The record may have been
                stored.
        """


async def record_primary(
    directory: Directory, record: DirectoryRecord, *, timers: Timers
) -> None:
    """Records a primary, retrying until its term or a higher one is stored.

    Args:
        directory: Directory that stores the record.
        record: The record.
        timers: Timer service.
    """
    retry_s = INITIAL_RETRY_S
    while True:
        try:
            async with timers.timeout(ANSWER_TIMEOUT_S):
                if await _record_once(directory, record):
                    return
        except (DirectoryError, TimeoutError) as exc:
            log.warning(
                "recording the primary in the directory failed",
                group=record.group,
                term=record.term,
                cause=str(exc) or "no answer",
                retry_s=retry_s,
            )
        await timers.sleep(retry_s)
        retry_s = min(retry_s * 2, MAX_RETRY_S)


async def _record_once(directory: Directory, record: DirectoryRecord) -> bool:
    stored = await directory.read(record.group)
    if stored is not None and stored.term >= record.term:
        return True
    expected = stored.term if stored is not None else None
    return await directory.record(record, expected_term=expected)


class DirectoryRecorder:
    """Records the promotions of one group in the background.

    Args:
        directory: Directory that stores them, or None to record nothing.
        timers: Timer service.
        start: Starts a task that is cancelled when the group is closed.
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
        """Starts to record a primary, and cancels recording of the one before."""
        if self._task is not None:
            self._task.cancel()
        if self._directory is None:
            return
        recording = record_primary(self._directory, record, timers=self._timers)
        self._task = self._start(recording)
