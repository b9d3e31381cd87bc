"""Client of the platform's store, spoken to by HTTP."""

import asyncio
import base64
import binascii
from typing import Any

import aiohttp
import msgspec

from heatherpier.platform._clock import StoreClock
from heatherpier.platform._sockets import make_client_session
from heatherpier.tables import (
    ChangeConflictError,
    Changes,
    HistoryLostError,
    Row,
    StoreRefusedError,
    StoreUnavailableError,
)
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("platform")
MS_PER_S = 1000
# Rows are asked for at most this many at a time, the largest answer of the store.
PAGE_ROWS = 500
# A call that takes longer counts as lost. The store answers in 4 ms when it is
# well; on a slow day its answers take some 250 ms.
CALL_TIMEOUT_S = 1.2

OK = 200
CONFLICT = 412
GONE = 410
REFUSALS = frozenset({400, 403, 429, 503, 507})


class _WireRow(msgspec.Struct, kw_only=True):
    key: str
    ver: int
    value: str | None = None
    tombstone: bool = False


class _Rows(msgspec.Struct, kw_only=True):
    rows: list[_WireRow]
    ver: int
    nowMs: float  # noqa: N815
    truncated: bool = False


class _Written(msgspec.Struct, kw_only=True):
    ver: int


class StoreClient:
    """Implements `RowStore` over the platform's store.

    Args:
        address: ``IP:port`` of the store.
        timers: Timer service.
    """

    def __init__(self, address: str, *, timers: Timers) -> None:
        self._base = f"http://{address}"
        self._timers = timers
        self._clock = StoreClock()
        self._session = make_client_session()
        self._rows_decoder = msgspec.json.Decoder(_Rows)
        self._written_decoder = msgspec.json.Decoder(_Written)

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def read_table(self, table: str) -> Changes:
        """Returns all rows of a table whose rows have no part."""
        rows: list[Row] = []
        start: str | None = None
        first: Changes | None = None
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if start is not None:
                query["from"] = start
            page, truncated = await self._fetch("rows-get", query, CALL_TIMEOUT_S)
            rows.extend(page.rows)
            # Later pages are of a later moment; the feed brings what lies between.
            first = first or page
            if not truncated or not page.rows:
                return Changes(
                    rows=tuple(rows), version=first.version, as_of=first.as_of
                )
            start = page.rows[-1].key + "\0"

    async def watch(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Returns the changes after a version, as soon as there are any."""
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * MS_PER_S)),
        }
        page, _ = await self._fetch("rows-feed", query, wait_s + CALL_TIMEOUT_S)
        return page

    async def put(self, table: str, key: str, body: bytes, *, expected: int) -> int:
        """Writes one row of the given version and returns its new version."""
        value = base64.b64encode(body).decode()
        row = {"table": table, "part": "", "key": key}
        return await self._commit(
            {
                "precondition": [{**row, "ver": expected}],
                "writes": [{**row, "value": value}],
                "deletes": [],
            }
        )

    async def delete(self, table: str, key: str, *, expected: int) -> None:
        """Deletes one row of the given version."""
        row = {"table": table, "part": "", "key": key}
        await self._commit(
            {
                "precondition": [{**row, "ver": expected}],
                "writes": [],
                "deletes": [row],
            }
        )

    async def _commit(self, change: dict[str, Any]) -> int:
        status, body = await self._call(
            "POST", "rows-tx", CALL_TIMEOUT_S, json=change, query={}
        )
        if status == CONFLICT:
            raise ChangeConflictError("a row has another version")
        try:
            return self._written_decoder.decode(body).ver
        except msgspec.MsgspecError as exc:
            raise StoreUnavailableError(f"unreadable answer: {exc}") from exc

    async def _fetch(
        self, call: str, query: dict[str, str], timeout_s: float
    ) -> tuple[Changes, bool]:
        sent_at = self._timers.elapsed()
        status, body = await self._call("GET", call, timeout_s, query=query)
        received_at = self._timers.elapsed()
        if status == GONE:
            raise HistoryLostError(f"{query['table']}: no history after the version")
        try:
            page = self._rows_decoder.decode(body)
        except msgspec.MsgspecError as exc:
            raise StoreUnavailableError(f"unreadable answer: {exc}") from exc
        as_of = self._clock.moment(
            page.nowMs / MS_PER_S, sent_at=sent_at, received_at=received_at
        )
        rows = tuple(_decode_row(item) for item in page.rows)
        return Changes(rows=rows, version=page.ver, as_of=as_of), page.truncated

    async def _call(
        self,
        method: str,
        call: str,
        timeout_s: float,
        *,
        query: dict[str, str],
        json: Any = None,
    ) -> tuple[int, bytes]:
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
        if resp.status in REFUSALS:
            raise StoreRefusedError(f"{call}: status {resp.status}")
        if resp.status not in (OK, CONFLICT, GONE):
            raise StoreUnavailableError(f"{call}: status {resp.status}")
        return resp.status, body


def _decode_row(item: _WireRow) -> Row:
    if item.tombstone or item.value is None:
        return Row(key=item.key, version=item.ver, body=None)
    try:
        body = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        # An empty body decodes to no record, which the reader of the row reports.
        log.warning("row is not base64", key=item.key, version=item.ver)
        body = b""
    return Row(key=item.key, version=item.ver, body=body)
