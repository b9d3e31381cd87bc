"""Describes the columns of a result so that every value arrives unchanged."""

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
INT64_MIN, INT64_MAX = -(2**63), 2**63 - 1
# Length of a binary TIME with microseconds, without its length byte.
TIME_PAYLOAD_BYTES = 12
MICROSECOND = datetime.timedelta(microseconds=1)


def text_columns(result: Result) -> list[ResultColumn]:
    """Returns the columns for the text protocol, with the types of the instance."""
    return [
        _text_column(
            column.name, ColumnType(column.type_code), _non_null_values(result, index)
        )
        for index, column in enumerate(result.columns)
    ]


def binary_columns(result: Result) -> list[ResultColumn]:
    """Returns the columns for the binary protocol.

    A column is sent as text if one of its values does not fit the binary form of
    the column's type. Every driver converts such text by the values themselves.
    """
    return [
        _binary_column(
            column.name, ColumnType(column.type_code), _non_null_values(result, index)
        )
        for index, column in enumerate(result.columns)
    ]


def _non_null_values(result: Result, index: int) -> list[Any]:
    return [row[index] for row in result.rows if row[index] is not None]


def _text_column(
    name: str, column_type: ColumnType, values: Sequence[Any]
) -> ResultColumn:
    default_encoder_fits = not values or isinstance(values[0], str | int)
    return ResultColumn(
        name=name,
        type=_replace_null_type(column_type),
        character_set=_charset(values),
        text_encoder=None
        if default_encoder_fits and column_type is not ColumnType.TINY
        else _encode_text,
    )


def _binary_column(
    name: str, column_type: ColumnType, values: Sequence[Any]
) -> ResultColumn:
    column_type = _binary_type(_replace_null_type(column_type), values)
    encoder: Callable[[Any, Any], bytes] | None = None
    if column_type is ColumnType.VAR_STRING:
        encoder = _encode_length_prefixed
    if column_type is ColumnType.TIME:
        encoder = _encode_time
    return ResultColumn(
        name=name,
        type=column_type,
        character_set=_charset(values),
        binary_encoder=encoder,
    )


def _binary_type(column_type: ColumnType, values: Sequence[Any]) -> ColumnType:
    if column_type in INTEGER_TYPES and _all_fit_int64(values):
        return ColumnType.LONGLONG
    if column_type in (ColumnType.FLOAT, ColumnType.DOUBLE) and _all_instances(
        values, float
    ):
        return ColumnType.DOUBLE
    if column_type in (ColumnType.DATETIME, ColumnType.TIMESTAMP):
        return (
            column_type
            if _all_instances(values, datetime.datetime)
            else ColumnType.VAR_STRING
        )
    if column_type is ColumnType.DATE:
        return (
            column_type
            if _all_instances(values, datetime.date)
            else ColumnType.VAR_STRING
        )
    if column_type is ColumnType.TIME and _all_instances(values, datetime.timedelta):
        return column_type
    if column_type in (ColumnType.DECIMAL, ColumnType.NEWDECIMAL):
        return ColumnType.NEWDECIMAL
    if _contains_bytes(values):
        return ColumnType.BLOB
    return column_type if column_type is ColumnType.JSON else ColumnType.VAR_STRING


def _replace_null_type(column_type: ColumnType) -> ColumnType:
    return ColumnType.VAR_STRING if column_type is ColumnType.NULL else column_type


def _all_instances(values: Sequence[Any], value_type: type) -> bool:
    return all(isinstance(value, value_type) for value in values)


def _all_fit_int64(values: Sequence[Any]) -> bool:
    return all(
        isinstance(value, int) and INT64_MIN <= value <= INT64_MAX for value in values
    )


def _contains_bytes(values: Sequence[Any]) -> bool:
    return any(isinstance(value, bytes) for value in values)


def _charset(values: Sequence[Any]) -> CharacterSet:
    return CharacterSet.binary if _contains_bytes(values) else CharacterSet.utf8mb4


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
    # The library encodes negative durations wrongly: MySQL sends the absolute
    # value and a sign flag.
    seconds, fraction = divmod(abs(value // MICROSECOND), 1_000_000)
    minutes, second = divmod(seconds, 60)
    hours, minute = divmod(minutes, 60)
    days, hour = divmod(hours, 24)
    negative = value < datetime.timedelta()
    return struct.pack(
        "<BBIBBBI", TIME_PAYLOAD_BYTES, negative, days, hour, minute, second, fraction
    )


def _encode_length_prefixed(column: Any, value: Any) -> bytes:
    encoded: bytes = str_len(_encode_text(column, value))
    return encoded
