"""Prepared statements of one caller's connection."""

import io
import re
from dataclasses import dataclass, field

from mysql_mimic.types import (
    Capabilities,
    ComStmtExecuteFlags,
    read_str_len,
    read_uint_1,
    read_uint_2,
    read_uint_4,
    read_uint_len,
)

from heatherpier.callers._errors import MalformedPacketError, PacketTooLargeError
from heatherpier.callers._limits import CallerLimits
from heatherpier.callers._literals import read_literal, text_literal

# A placeholder, or what a question mark in it does not count in.
PLACEHOLDER = re.compile(
    r"""
      `[^`]*+(?:`|\Z)
    | '(?:[^'\\]|\\.|'')*+(?:'|\\?\Z) | "(?:[^"\\]|\\.|"")*+(?:"|\\?\Z)
    | /\*.*?(?:\*/|\Z) | --(?=\s|\Z)[^\n]*+ | \#[^\n]*+
    | (?P<placeholder>\?)
    """,
    re.S | re.X,
)
UNSIGNED = 0x80


class UnknownStatementError(Exception):
    """No prepared statement has the number."""


class TooManyStatementsError(Exception):
    """The connection holds as many prepared statements as it may."""


@dataclass(slots=True)
class PreparedText:
    """One prepared statement.

    Attributes:
        number: Number on this connection.
        parts: Its text, cut at the placeholders.
        types: Types of the parameters that were bound last: code, unsigned, name.
        long_data: Values that were sent ahead in pieces, by parameter.
    """

    number: int
    parts: tuple[str, ...]
    types: tuple["ParameterType", ...] = ()
    long_data: dict[int, bytearray] = field(default_factory=dict)

    @property
    def parameters(self) -> int:
        """Count of placeholders."""
        return len(self.parts) - 1


@dataclass(frozen=True, slots=True)
class ParameterType:
    """Type and name of one bound parameter."""

    code: int
    unsigned: bool
    name: str


@dataclass(frozen=True, slots=True)
class BoundStatement:
    """A prepared statement with its values filled in.

    Attributes:
        sql: The statement with literals for its placeholders.
        attributes: Query attributes by name.
        wants_cursor: Whether rows are to be fetched in parts.
    """

    sql: str
    attributes: dict[str, str]
    wants_cursor: bool


class PreparedStatements:
    """Holds the prepared statements of a connection.

    Args:
        limits: Limits of their count and size.
    """

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._statements: dict[int, PreparedText] = {}
        self._last_number = 0

    def prepare(self, sql: str) -> PreparedText:
        """Keeps a statement.

        Raises:
            TooManyStatementsError: There are too many already.
        """
        if len(self._statements) >= self._limits.prepared_statements:
            raise TooManyStatementsError(
                f"{len(self._statements)} prepared statements are open"
            )
        self._last_number += 1
        statement = PreparedText(self._last_number, _split(sql))
        self._statements[statement.number] = statement
        return statement

    def get(self, number: int) -> PreparedText:
        """Returns a statement.

        Raises:
            UnknownStatementError: It was not prepared or was closed.
        """
        statement = self._statements.get(number)
        if statement is None:
            raise UnknownStatementError(f"no prepared statement {number}")
        return statement

    def close(self, number: int) -> None:
        """Forgets a statement, if it is known."""
        self._statements.pop(number, None)

    def clear(self) -> None:
        """Forgets all statements."""
        self._statements.clear()

    def add_long_data(self, data: bytes) -> None:
        """Keeps a piece of a long value.

        Raises:
            PacketTooLargeError: All pieces are larger than a statement may be.
        """
        reader = io.BytesIO(data)
        statement = self._statements.get(read_uint_4(reader))
        if statement is None:
            return
        place = read_uint_2(reader)
        piece = reader.read()
        held = sum(len(value) for value in statement.long_data.values())
        if held + len(piece) > self._limits.packet_bytes:
            raise PacketTooLargeError(
                f"long data of {held + len(piece)} bytes is larger than the limit of "
                f"{self._limits.packet_bytes} bytes; not run"
            )
        statement.long_data.setdefault(place, bytearray()).extend(piece)

    def bind(
        self, data: bytes, *, capabilities: Capabilities, charset: str
    ) -> BoundStatement:
        """Fills in the values of an execute command.

        Raises:
            UnknownStatementError: The statement is not known.
            MalformedPacketError: The values don't fit their types.
        """
        reader = io.BytesIO(data)
        statement = self.get(read_uint_4(reader))
        flags = ComStmtExecuteFlags(read_uint_1(reader))
        read_uint_4(reader)
        named = Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities
        counted = ComStmtExecuteFlags.PARAMETER_COUNT_AVAILABLE in flags
        count = statement.parameters
        if named and (count or counted):
            count = read_uint_len(reader)
        literals = _read_values(
            reader, statement, count=count, named=named, charset=charset
        )
        statement.long_data.clear()
        return BoundStatement(
            sql=_join(statement, literals),
            attributes=_attributes(statement, literals),
            wants_cursor=ComStmtExecuteFlags.CURSOR_TYPE_READ_ONLY in flags,
        )


def _split(sql: str) -> tuple[str, ...]:
    parts = []
    start = 0
    for found in PLACEHOLDER.finditer(sql):
        if found["placeholder"]:
            parts.append(sql[start : found.start()])
            start = found.end()
    return (*parts, sql[start:])


def _join(statement: PreparedText, literals: list[str]) -> str:
    pieces = [statement.parts[0]]
    for literal, part in zip(literals, statement.parts[1:], strict=False):
        pieces += (literal, part)
    return "".join(pieces)


def _attributes(statement: PreparedText, literals: list[str]) -> dict[str, str]:
    extra = range(statement.parameters, len(literals))
    return {
        statement.types[place].name: literals[place].strip("'").replace("''", "'")
        for place in extra
        if statement.types[place].name
    }


def _read_values(
    reader: io.BytesIO,
    statement: PreparedText,
    *,
    count: int,
    named: bool,
    charset: str,
) -> list[str]:
    if count < statement.parameters:
        raise MalformedPacketError(
            f"expected {statement.parameters} parameters, got {count}"
        )
    if count == 0:
        return []
    nulls = reader.read((count + 7) // 8)
    if read_uint_1(reader):
        statement.types = tuple(
            _read_type(reader, named=named, charset=charset) for _ in range(count)
        )
    if len(statement.types) != count or len(nulls) != (count + 7) // 8:
        raise MalformedPacketError(f"the types of {count} parameters are missing")
    return [
        _read_value(reader, statement, place, nulls=nulls, charset=charset)
        for place in range(count)
    ]


def _read_type(reader: io.BytesIO, *, named: bool, charset: str) -> ParameterType:
    code = read_uint_1(reader)
    unsigned = bool(read_uint_1(reader) & UNSIGNED)
    name = read_str_len(reader).decode(charset) if named else ""
    return ParameterType(code, unsigned, name)


def _read_value(
    reader: io.BytesIO,
    statement: PreparedText,
    place: int,
    *,
    nulls: bytes,
    charset: str,
) -> str:
    if place in statement.long_data:
        return text_literal(bytes(statement.long_data[place]), charset=charset)
    if nulls[place // 8] & (1 << place % 8):
        return "NULL"
    kind = statement.types[place]
    return read_literal(reader, kind.code, unsigned=kind.unsigned, charset=charset)
