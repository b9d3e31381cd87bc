"""Converts binary parameters of prepared statements to SQL literals."""

import datetime
import io
import re
import struct
from decimal import Decimal, InvalidOperation

from mysql_mimic.types import ColumnType, read_str_len

from heatherpier.callers._errors import MalformedPacketError

TEXT_TYPES = frozenset(
    {
        ColumnType.VARCHAR,
        ColumnType.VAR_STRING,
        ColumnType.STRING,
        ColumnType.ENUM,
        ColumnType.SET,
        ColumnType.JSON,
    }
)
BLOB_TYPES = frozenset(
    {
        ColumnType.TINY_BLOB,
        ColumnType.MEDIUM_BLOB,
        ColumnType.LONG_BLOB,
        ColumnType.BLOB,
        ColumnType.BIT,
        ColumnType.GEOMETRY,
    }
)
DATE_TYPES = frozenset({ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP})
DECIMAL_TYPES = frozenset({ColumnType.DECIMAL, ColumnType.NEWDECIMAL})
# Formats of `struct` for signed numbers. In upper case they are those of the unsigned.
NUMBER_FORMATS = {
    ColumnType.TINY: "<b",
    ColumnType.BOOL: "<b",
    ColumnType.SHORT: "<h",
    ColumnType.YEAR: "<h",
    ColumnType.LONG: "<i",
    ColumnType.INT24: "<i",
    ColumnType.LONGLONG: "<q",
    ColumnType.FLOAT: "<f",
    ColumnType.DOUBLE: "<d",
}
ESCAPES = str.maketrans({"'": "''", "\\": "\\\\", "\0": "\\0"})
ESCAPED = re.compile(r"''|\\\\|\\0")
UNESCAPED = {"''": "'", "\\\\": "\\", "\\0": "\0"}


def read_literal(
    reader: io.BytesIO, type_code: int, *, unsigned: bool, charset: str
) -> str:
    """Reads one binary value and returns it as a SQL literal.

    Args:
        reader: Packet, positioned at the value.
        type_code: MySQL column type of the value.
        unsigned: Whether an integer is unsigned.
        charset: Python codec of text values.

    Raises:
        MalformedPacketError: The value does not match its type, or the type is unknown
            or not supported.
    """
    try:
        return _read(reader, ColumnType(type_code), unsigned=unsigned, charset=charset)
    except (ValueError, IndexError, struct.error, InvalidOperation) as exc:
        raise MalformedPacketError(
            f"parameter of type {type_code} is invalid: {exc}"
        ) from exc


def _read(
    reader: io.BytesIO, column_type: ColumnType, *, unsigned: bool, charset: str
) -> str:
    if column_type is ColumnType.NULL:
        return "NULL"
    if column_type in NUMBER_FORMATS:
        return _read_number(reader, NUMBER_FORMATS[column_type], unsigned=unsigned)
    if column_type in DATE_TYPES:
        return _read_date(reader)
    if column_type is ColumnType.TIME:
        return _read_time(reader)
    if column_type in DECIMAL_TYPES:
        return format(Decimal(read_str_len(reader).decode("ascii")), "f")
    if column_type in BLOB_TYPES:
        return blob_literal(read_str_len(reader))
    if column_type in TEXT_TYPES:
        return text_literal(read_str_len(reader), charset=charset)
    raise ValueError(f"type {column_type.name} is not supported")


def _read_number(reader: io.BytesIO, number_format: str, *, unsigned: bool) -> str:
    is_float = number_format in ("<f", "<d")
    if unsigned and not is_float:
        number_format = number_format.upper()
    (value,) = struct.unpack(number_format, reader.read(struct.calcsize(number_format)))
    return repr(value) if is_float else str(value)


def _read_date(reader: io.BytesIO) -> str:
    body = _read_length_prefixed(reader)
    if not body:
        return "'0000-00-00 00:00:00'"
    year, month, day = struct.unpack("<HBB", body[:4])
    text = f"{year:04}-{month:02}-{day:02}"
    if len(body) > 4:
        hour, minute, second = struct.unpack("<BBB", body[4:7])
        text += f" {hour:02}:{minute:02}:{second:02}"
    if len(body) > 7:
        text += f".{struct.unpack('<I', body[7:11])[0]:06}"
    return f"'{text}'"


def _read_time(reader: io.BytesIO) -> str:
    body = _read_length_prefixed(reader)
    if not body:
        return "'00:00:00'"
    negative, days, hour, minute, second = struct.unpack("<BIBBB", body[:8])
    text = f"{days * 24 + hour:02}:{minute:02}:{second:02}"
    if len(body) > 8:
        text += f".{struct.unpack('<I', body[8:12])[0]:06}"
    return f"'{'-' if negative else ''}{text}'"


def _read_length_prefixed(reader: io.BytesIO) -> bytes:
    size = reader.read(1)[0]
    body = reader.read(size)
    if len(body) != size:
        raise ValueError(f"value is truncated: expected {size} bytes, got {len(body)}")
    return body


def blob_literal(value: bytes) -> str:
    """Returns bytes as a SQL literal."""
    return f"x'{value.hex()}'"


def text_literal(value: bytes, *, charset: str) -> str:
    """Returns encoded text as a SQL literal.

    Drivers send bytes and text by the same type, so bytes that ``charset`` can't decode
    become a hexadecimal literal.
    """
    try:
        text = value.decode(charset)
    except UnicodeDecodeError:
        return blob_literal(value)
    return f"'{text.translate(ESCAPES)}'"


def text_of_literal(literal: str) -> str:
    """Returns the text that `text_literal` made a literal of; others are unchanged."""
    if not literal.startswith("'"):
        return literal
    return ESCAPED.sub(lambda found: UNESCAPED[found[0]], literal[1:-1])


def format_time(value: datetime.timedelta) -> str:
    """Returns a duration in MySQL's text format of TIME."""
    microseconds = value // datetime.timedelta(microseconds=1)
    sign = "-" if microseconds < 0 else ""
    seconds, fraction = divmod(abs(microseconds), 1_000_000)
    minutes, second = divmod(seconds, 60)
    hour, minute = divmod(minutes, 60)
    text = f"{sign}{hour:02}:{minute:02}:{second:02}"
    return f"{text}.{fraction:06}" if fraction else text
