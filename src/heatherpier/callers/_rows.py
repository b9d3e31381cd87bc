"""Describes the columns of a result so that every value arrives as it is."""

import datetime
import struct
from collections.abc import Callable, Sequence
from decimal import Decimal
from typing import Any

from mysql_mimic import ColumnType, ResultColumn
from mysql_mimic.charset import CharacterSet
from mysql_mimic.types import str_len

from heatherpier.callers._literals import format_time
from heatherpier.upstreams import Result

INTEGER_TYPES = frozenset(
    {
        ColumnType.TINY,
        ColumnType.SHORT,
        ColumnType.LONG,
        ColumnType.INT24,
        ColumnType.LONGLONG,
        ColumnType.YEAR,
    }
)
SIGNED_MIN, SIGNED_MAX = -(2**63), 2**63 - 1
TIME_BYTES = 12
MICROSECOND = datetime.timedelta(microseconds=1)


def text_columns(result: Result) -> list[ResultColumn]:
    """Returns the columns for the text protocol, with the instance's types."""
    return [
        _text_column(column.name, ColumnType(column.type_code), _values(result, place))
        for place, column in enumerate(result.columns)
    ]


def binary_columns(result: Result) -> list[ResultColumn]:
    """Returns the columns for the binary protocol.

    A column whose values don't all fit the binary form of its type is sent as
    text, which every driver converts by the values themselves.
    """
    return [
        _binary_column(
            column.name, ColumnType(column.type_code), _values(result, place)
        )
        for place, column in enumerate(result.columns)
    ]


def _values(result: Result, place: int) -> list[Any]:
    return [row[place] for row in result.rows if row[place] is not None]


def _text_column(name: str, kind: ColumnType, values: Sequence[Any]) -> ResultColumn:
    plain = not values or isinstance(values[0], str | int)
    return ResultColumn(
        name=name,
        type=_known(kind),
        character_set=_charset(values),
        text_encoder=None if plain and kind is not ColumnType.TINY else _encode_text,
    )


def _binary_column(name: str, kind: ColumnType, values: Sequence[Any]) -> ResultColumn:
    kind = _binary_type(_known(kind), values)
    encoder: Callable[[Any, Any], bytes] | None = None
    if kind is ColumnType.VAR_STRING:
        encoder = _encode_sized
    if kind is ColumnType.TIME:
        encoder = _encode_time
    return ResultColumn(
        name=name, type=kind, character_set=_charset(values), binary_encoder=encoder
    )


def _binary_type(kind: ColumnType, values: Sequence[Any]) -> ColumnType:
    if kind in INTEGER_TYPES and _all_in_range(values):
        return ColumnType.LONGLONG
    if kind in (ColumnType.FLOAT, ColumnType.DOUBLE) and _all_of(values, float):
        return ColumnType.DOUBLE
    if kind in (ColumnType.DATETIME, ColumnType.TIMESTAMP):
        return kind if _all_of(values, datetime.datetime) else ColumnType.VAR_STRING
    if kind is ColumnType.DATE:
        return kind if _all_of(values, datetime.date) else ColumnType.VAR_STRING
    if kind is ColumnType.TIME and _all_of(values, datetime.timedelta):
        return kind
    if kind in (ColumnType.DECIMAL, ColumnType.NEWDECIMAL):
        return ColumnType.NEWDECIMAL
    if _holds_bytes(values):
        return ColumnType.BLOB
    return kind if kind is ColumnType.JSON else ColumnType.VAR_STRING


def _known(kind: ColumnType) -> ColumnType:
    return ColumnType.VAR_STRING if kind is ColumnType.NULL else kind


def _all_of(values: Sequence[Any], kind: type) -> bool:
    return all(isinstance(value, kind) for value in values)


def _all_in_range(values: Sequence[Any]) -> bool:
    return all(
        isinstance(value, int) and SIGNED_MIN <= value <= SIGNED_MAX for value in values
    )


def _holds_bytes(values: Sequence[Any]) -> bool:
    return any(isinstance(value, bytes) for value in values)


def _charset(values: Sequence[Any]) -> CharacterSet:
    return CharacterSet.binary if _holds_bytes(values) else CharacterSet.utf8mb4


def _encode_text(column: Any, value: Any) -> bytes:
    match value:
        case bytes():
            return value
        case bool():
            return b"1" if value else b"0"
        case datetime.timedelta():
            return format_time(value).encode()
        case Decimal():
            return format(value, "f").encode()
        case float():
            return repr(value).encode()
        case _:
            return str(value).encode()


def _encode_time(column: Any, value: datetime.timedelta) -> bytes:
    # The library's form of negative durations is wrong.
    seconds, fraction = divmod(abs(value // MICROSECOND), 1_000_000)
    minutes, second = divmod(seconds, 60)
    hours, minute = divmod(minutes, 60)
    days, hour = divmod(hours, 24)
    negative = value < datetime.timedelta()
    return struct.pack(
        "<BBIBBBI", TIME_BYTES, negative, days, hour, minute, second, fraction
    )


def _encode_sized(column: Any, value: Any) -> bytes:
    sized: bytes = str_len(_encode_text(column, value))
    return sized
