"""HTTP client of the platform's store."""

import asyncio
import base64
import binascii
from collections.abc import Mapping
from typing import Any

import aiohttp
import msgspec

from heatherpier.decoding import DECODE_ERRORS
from heatherpier.platform._clock import StoreClock
from heatherpier.platform._sockets import make_client_session
from heatherpier.tables import (
    NO_CONDITIONS,
    ChangeConflictError,
    Changes,
    HistoryLostError,
    Row,
    StoreEpoch,
    StoreRefusedError,
    StoreUnavailableError,
    epoch_of,
    make_version,
    number_of,
)
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("platform")
MS_PER_S = 1000
# Rows requested at a time; the store returns no more in one answer.
MAX_PAGE_ROWS = 500
# The outcome of a call that takes longer is unknown. The store answers in 4 ms when
# healthy and in some 250 ms when slow.
CALL_TIMEOUT_S = 1.2

# Counts how often the store came back from an older backup. A store without this header
# was never restored.
EPOCH_HEADER = "Store-Era"

STATUS_OK = 200
# A row does not have the expected version.
STATUS_VERSION_CONFLICT = 412
# The store no longer keeps the changes since the requested version.
STATUS_HISTORY_LOST = 410
# The store rejected the call and changed nothing.
REJECTION_STATUSES = frozenset({400, 403, 429, 503, 507})


class _WireRow(msgspec.Struct, kw_only=True):
    key: str
    # Version of the store at which the row was written.
    ver: int
    # Content of the row in base64; None if the row was deleted.
    value: str | None = None
    # Whether the row was deleted; it then has no value.
    tombstone: bool = False


class _Rows(msgspec.Struct, kw_only=True):
    rows: list[_WireRow]
    # Version of the store up to which the rows are complete.
    ver: int
    # Time of the answer by the store's monotonic clock, in milliseconds; not Unix time.
    nowMs: float  # noqa: N815
    # Whether the table has further rows.
    truncated: bool = False


class _Written(msgspec.Struct, kw_only=True):
    # Version of the store at which the change was made.
    ver: int


class StoreClient:
    """Implements `RowStore` by the HTTP interface of the platform's store.

    Args:
        address: Address of the store, as ``IP:port``.
        timers: Timer service.
    """

    def __init__(self, address: str, *, timers: Timers) -> None:
        self._base = f"http://{address}"
        self._timers = timers
        self._clock = StoreClock()
        self._epoch = StoreEpoch()
        self._session = make_client_session()
        self._rows_decoder = msgspec.json.Decoder(_Rows)
        self._commit_decoder = msgspec.json.Decoder(_Written)

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def read_table(self, table: str) -> Changes:
        """Returns all rows of a table; the ``part`` of their keys is empty."""
        rows: list[Row] = []
        start: str | None = None
        first: Changes | None = None
        while True:
            query = {"table": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
            if start is not None:
                query["from"] = start
            page, truncated = await self._fetch("rows-get", query, CALL_TIMEOUT_S)
            if first is not None and epoch_of(page.version) != epoch_of(first.version):
                raise StoreUnavailableError(f"{table}: restored between two pages")
            rows.extend(page.rows)
            # Later pages are newer than the first. With the version and the time of the
            # first, a watch after this read returns what changed between the pages.
            first = first or page
            if not truncated or not page.rows:
                return Changes(
                    rows=tuple(rows), version=first.version, as_of=first.as_of
                )
            start = page.rows[-1].key + "\0"

    async def watch(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Returns the changes after a version, as soon as there are any."""
        self._epoch.check_watch(after)
        query = {
            "table": table,
            "after": str(number_of(after)),
            "waitMs": str(int(wait_s * MS_PER_S)),
        }
        page, _ = await self._fetch("rows-feed", query, wait_s + CALL_TIMEOUT_S)
        self._epoch.check_watched(after, answered_in=epoch_of(page.version))
        return page

    async def put(self, table: str, key: str, body: bytes, *, expected: int) -> int:
        """Writes one row if it has the expected version; returns its new version."""
        value = base64.b64encode(body).decode()
        row = {"table": table, "part": "", "key": key}
        return await self._commit(
            {
                "precondition": [{**row, "ver": number_of(expected)}],
                "writes": [{**row, "value": value}],
                "deletes": [],
            },
            expected=expected,
        )

    async def delete(
        self,
        table: str,
        key: str,
        *,
        expected: int,
        unchanged: Mapping[str, int] = NO_CONDITIONS,
    ) -> None:
        """Deletes one row if it and others have the expected versions."""
        for version in unchanged.values():
            self._epoch.check_expected(version)
        conditions = {key: expected, **unchanged}
        await self._commit(
            {
                "precondition": [
                    {"table": table, "part": "", "key": item, "ver": number_of(version)}
                    for item, version in conditions.items()
                ],
                "writes": [],
                "deletes": [{"table": table, "part": "", "key": key}],
            },
            expected=expected,
        )

    async def _commit(self, change: dict[str, Any], *, expected: int) -> int:
        self._epoch.check_expected(expected)
        status, body, epoch = await self._call(
            "POST", "rows-tx", CALL_TIMEOUT_S, json=change, query={}
        )
        if status == STATUS_VERSION_CONFLICT:
            raise ChangeConflictError("the row does not have the expected version")
        self._epoch.check_written(expected, answered_in=epoch)
        try:
            return make_version(epoch, self._commit_decoder.decode(body).ver)
        except DECODE_ERRORS as exc:
            raise StoreUnavailableError(f"unreadable answer: {exc}") from exc

    async def _fetch(
        self, call: str, query: dict[str, str], timeout_s: float
    ) -> tuple[Changes, bool]:
        sent_at = self._timers.elapsed()
        status, body, epoch = await self._call("GET", call, timeout_s, query=query)
        received_at = self._timers.elapsed()
        if status == STATUS_HISTORY_LOST:
            raise HistoryLostError(
                f"{query['table']}: history after the version is lost"
            )
        try:
            page = self._rows_decoder.decode(body)
        except DECODE_ERRORS as exc:
            raise StoreUnavailableError(f"unreadable answer: {exc}") from exc
        as_of = self._clock.earliest_local_time(
            page.nowMs / MS_PER_S,
            sent_at=sent_at,
            received_at=received_at,
            epoch=epoch,
        )
        rows = tuple(_decode_row(item, epoch) for item in page.rows)
        version = make_version(epoch, page.ver)
        return Changes(rows=rows, version=version, as_of=as_of), page.truncated

    async def _call(
        self,
        method: str,
        call: str,
        timeout_s: float,
        *,
        query: dict[str, str],
        json: Any = None,
    ) -> tuple[int, bytes, int]:
        """Returns status, body and epoch of the store's answer.

        Raises:
            StoreRefusedError: The store rejected the call and changed nothing.
            StoreUnavailableError: There is no usable answer, or it is from before a
                restore that this client knows of.
        """
        try:
            async with (
                self._timers.timeout(timeout_s),
                self._session.request(
                    method, f"{self._base}/{call}", params=query, json=json
                ) as resp,
            ):
                body = await resp.read()
        except (TimeoutError, asyncio.IncompleteReadError) as exc:
            raise StoreUnavailableError(
                f"{call}: no answer within {timeout_s:.1f} s"
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise StoreUnavailableError(f"{call}: {type(exc).__name__} {exc}") from exc
        if resp.status in REJECTION_STATUSES:
            raise StoreRefusedError(f"{call}: status {resp.status}")
        if resp.status not in (STATUS_OK, STATUS_VERSION_CONFLICT, STATUS_HISTORY_LOST):
            raise StoreUnavailableError(f"{call}: status {resp.status}")
        text = resp.headers.get(EPOCH_HEADER)
        if text is None and resp.status != STATUS_OK:
            # A conflict and a lost history mean the same in every epoch. If an answer
            # without the epoch counted as none, a watch from before a restore would
            # be repeated for good.
            return resp.status, body, self._epoch.newest
        epoch = _parse_epoch(text)
        self._epoch.note(epoch)
        return resp.status, body, epoch


def _parse_epoch(text: str | None) -> int:
    """Returns the epoch in the header of an answer; 0 if there is no such header.

    Raises:
        StoreUnavailableError: The text is no epoch.
    """
    if text is None:
        return 0
    if not text.isdecimal():
        raise StoreUnavailableError(f"expected an epoch, got {text!r:.20}")
    return int(text)


def _decode_row(item: _WireRow, epoch: int) -> Row:
    version = make_version(epoch, item.ver)
    if item.tombstone or item.value is None:
        return Row(key=item.key, version=version, body=None)
    try:
        body = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        # No record can be decoded from an empty body, so the reader of the row reports
        # it as unreadable.
        log.warning("row value is not valid base64", key=item.key, version=item.ver)
        body = b""
    return Row(key=item.key, version=version, body=body)
