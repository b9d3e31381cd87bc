"""Keeps the prepared statements of one caller's connection."""

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
from heatherpier.callers._literals import read_literal, text_literal, text_of_literal

# Matches a placeholder, or a quoted text or comment, in which a question mark is
# no placeholder.
PLACEHOLDER = re.compile(
    r"""
      `[^`]*+(?:`|\Z)
    | '(?:[^'\\]|\\.|'')*+(?:'|\\?\Z) | "(?:[^"\\]|\\.|"")*+(?:"|\\?\Z)
    | /\*.*?(?:\*/|\Z) | --(?=\s|\Z)[^\n]*+ | \#[^\n]*+
    | (?P<placeholder>\?)
    """,
    re.S | re.X,
)
UNSIGNED_FLAG = 0x80


class UnknownStatementError(Exception):
    """The connection has no prepared statement with this id."""


class TooManyStatementsError(Exception):
    """The connection has reached the limit of prepared statements."""


@dataclass(slots=True)
class PreparedStatement:
    """Text and bound types of one prepared statement.

    Attributes:
        id: Id of the statement, unique on the connection.
        parts: Text of the statement, split at the placeholders.
        types: Parameter types of the last execution. A driver may leave them out
            of later ones.
        long_data: Values that were sent ahead in chunks, by parameter index.
    """

    id: int
    parts: tuple[str, ...]
    types: tuple["ParameterType", ...] = ()
    long_data: dict[int, bytearray] = field(default_factory=dict)

    @property
    def parameter_count(self) -> int:
        """Number of placeholders."""
        return len(self.parts) - 1


@dataclass(frozen=True, slots=True)
class ParameterType:
    """Type and name of one bound parameter.

    Attributes:
        code: MySQL type code.
        unsigned: True if the value is an unsigned integer.
        name: Name of a query attribute, or empty.
    """

    code: int
    unsigned: bool
    name: str


@dataclass(frozen=True, slots=True)
class BoundStatement:
    """A prepared statement with literals in place of its placeholders.

    Attributes:
        sql: The statement, ready to run.
        attributes: Query attributes by name.
        cursor_requested: True if the caller asked for a server-side cursor.
    """

    sql: str
    attributes: dict[str, str]
    cursor_requested: bool


class PreparedStatements:
    """Keeps the prepared statements of a connection and binds their parameters.

    Args:
        limits: Limits of their number and of the size of long data.
    """

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._statements: dict[int, PreparedStatement] = {}
        self._last_id = 0

    def prepare(self, sql: str) -> PreparedStatement:
        """Stores a statement under a new id.

        Raises:
            TooManyStatementsError: The limit of prepared statements is reached.
        """
        if len(self._statements) >= self._limits.prepared_statements:
            raise TooManyStatementsError(
                f"the limit of {len(self._statements)} prepared statements is reached"
            )
        self._last_id += 1
        statement = PreparedStatement(self._last_id, _split_at_placeholders(sql))
        self._statements[statement.id] = statement
        return statement

    def get(self, statement_id: int) -> PreparedStatement:
        """Returns the statement with the id.

        Raises:
            UnknownStatementError: It was never prepared or is closed.
        """
        statement = self._statements.get(statement_id)
        if statement is None:
            raise UnknownStatementError(
                f"no prepared statement has the id {statement_id}"
            )
        return statement

    def close(self, statement_id: int) -> None:
        """Removes a statement. An unknown id is ignored."""
        self._statements.pop(statement_id, None)

    def clear(self) -> None:
        """Removes all statements."""
        self._statements.clear()

    def add_long_data(self, data: bytes) -> None:
        """Buffers one chunk of a parameter. An unknown statement is ignored.

        Raises:
            PacketTooLargeError: The statement's chunks together exceed the limit of
                a statement.
        """
        reader = io.BytesIO(data)
        statement = self._statements.get(read_uint_4(reader))
        if statement is None:
            return
        index = read_uint_2(reader)
        chunk = reader.read()
        buffered = sum(len(value) for value in statement.long_data.values())
        if buffered + len(chunk) > self._limits.packet_bytes:
            raise PacketTooLargeError(
                f"long data of {buffered + len(chunk)} bytes exceeds the limit of "
                f"{self._limits.packet_bytes} bytes; not run"
            )
        statement.long_data.setdefault(index, bytearray()).extend(chunk)

    def bind(
        self, data: bytes, *, capabilities: Capabilities, charset: str
    ) -> BoundStatement:
        """Parses an execute command and fills its values into the statement.

        Args:
            data: Payload of the command, without the command byte.
            capabilities: Capabilities agreed on in the handshake.
            charset: Python codec of the caller's character set.

        Raises:
            UnknownStatementError: The statement was never prepared or is closed.
            MalformedPacketError: The values don't match the statement or their types.
        """
        reader = io.BytesIO(data)
        statement = self.get(read_uint_4(reader))
        flags = ComStmtExecuteFlags(read_uint_1(reader))
        read_uint_4(reader)
        with_names = Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities
        has_count = ComStmtExecuteFlags.PARAMETER_COUNT_AVAILABLE in flags
        count = statement.parameter_count
        if with_names and (count or has_count):
            count = read_uint_len(reader)
        literals = _read_literals(
            reader, statement, count=count, with_names=with_names, charset=charset
        )
        statement.long_data.clear()
        return BoundStatement(
            sql=_join_literals(statement, literals),
            attributes=_query_attributes(statement, literals),
            cursor_requested=ComStmtExecuteFlags.CURSOR_TYPE_READ_ONLY in flags,
        )


def _split_at_placeholders(sql: str) -> tuple[str, ...]:
    parts = []
    start = 0
    for found in PLACEHOLDER.finditer(sql):
        if found["placeholder"]:
            parts.append(sql[start : found.start()])
            start = found.end()
    return (*parts, sql[start:])


def _join_literals(statement: PreparedStatement, literals: list[str]) -> str:
    fragments = [statement.parts[0]]
    for literal, part in zip(literals, statement.parts[1:], strict=False):
        fragments += (literal, part)
    return "".join(fragments)


def _query_attributes(
    statement: PreparedStatement, literals: list[str]
) -> dict[str, str]:
    indexes = range(statement.parameter_count, len(literals))
    return {
        statement.types[index].name: text_of_literal(literals[index])
        for index in indexes
        if statement.types[index].name
    }


def _read_literals(
    reader: io.BytesIO,
    statement: PreparedStatement,
    *,
    count: int,
    with_names: bool,
    charset: str,
) -> list[str]:
    if count < statement.parameter_count:
        raise MalformedPacketError(
            f"expected {statement.parameter_count} parameters, got {count}"
        )
    if count == 0:
        return []
    nulls = reader.read((count + 7) // 8)
    if read_uint_1(reader):
        statement.types = tuple(
            _read_type(reader, with_names=with_names, charset=charset)
            for _ in range(count)
        )
    if len(statement.types) != count or len(nulls) != (count + 7) // 8:
        raise MalformedPacketError(
            f"the types or values of {count} parameters are missing"
        )
    return [
        _read_literal(reader, statement, index, nulls=nulls, charset=charset)
        for index in range(count)
    ]


def _read_type(reader: io.BytesIO, *, with_names: bool, charset: str) -> ParameterType:
    code = read_uint_1(reader)
    unsigned = bool(read_uint_1(reader) & UNSIGNED_FLAG)
    name = read_str_len(reader).decode(charset) if with_names else ""
    return ParameterType(code, unsigned, name)


def _read_literal(
    reader: io.BytesIO,
    statement: PreparedStatement,
    index: int,
    *,
    nulls: bytes,
    charset: str,
) -> str:
    if index in statement.long_data:
        return text_literal(bytes(statement.long_data[index]), charset=charset)
    if nulls[index // 8] & (1 << index % 8):
        return "NULL"
    parameter = statement.types[index]
    return read_literal(
        reader, parameter.code, unsigned=parameter.unsigned, charset=charset
    )
