"""Messages of the platform's line protocol.

The tables below translate words of the protocol into the product's types.
"""

from dataclasses import dataclass

from heatherpier.platform._errors import MalformedLineError
from heatherpier.positions import LogPosition
from heatherpier.statements import (
    Access,
    Begin,
    Code,
    Commit,
    Deallocate,
    Execute,
    Failed,
    Prepare,
    Read,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    Unknown,
    Write,
)

LINE_END = b"\r\n"
# Maps each byte to one character and back, so text of any encoding passes unchanged.
ENCODING = "latin-1"
# Largest message of the protocol, in bytes.
MAX_MESSAGE_BYTES = 1 << 20
# Id of statements that the proxy sends on its own, not for a caller's statement.
PROXY_STATEMENT_ID = "-"

CODES = {
    "BUSY": Code.BUSY,
    "ABORTED": Code.ABORTED,
    "LAGGING": Code.LAGGING,
    "READONLY": Code.READ_ONLY,
    "MISROUTED": Code.WRONG_INSTANCE,
    "OVERLOAD": Code.OVERLOADED,
    "INDOUBT": Code.OUTCOME_UNKNOWN,
    "TIMEOUT": Code.TIMEOUT,
    "FAILED": Code.FAILED,
    "NOSTMT": Code.UNKNOWN_STATEMENT,
    "NODB": Code.UNKNOWN_DATABASE,
    "NOAUTH": Code.UNKNOWN_KEY,
    "TOOBIG": Code.TOO_LARGE,
    "MALFORMED": Code.MALFORMED,
}
CODE_WORDS = {code: word for word, code in CODES.items()}
STATES = {
    "I": SessionState.IDLE,
    "T": SessionState.OPEN,
    "E": SessionState.FAILED,
}
STATE_WORDS = {state: word for word, state in STATES.items()}
ACCESSES = {"READ": Access.READ, "WRITE": Access.WRITE}
ACCESS_WORDS = {access: word for word, access in ACCESSES.items()}


@dataclass(frozen=True, slots=True)
class Ready:
    """The message that ends an answer.

    Attributes:
        state: State of the session after the statement.
        position: Log position of the instance that answered, or None.
    """

    state: SessionState
    position: LogPosition | None


def parse_position(text: str) -> LogPosition | None:
    """Parses a log position; ``-`` stands for none.

    Raises:
        MalformedLineError: The text is not a position.
    """
    if text == "-":
        return None
    term, dot, number = text.partition(".")
    if not (dot and term.isdecimal() and number.isdecimal()):
        raise MalformedLineError(f"expected a position, got {text!r:.40}")
    return LogPosition(int(term), int(number))


def format_position(position: LogPosition | None) -> str:
    """Returns the text of a log position, ``-`` for None."""
    if position is None:
        return "-"
    return f"{position.term}.{position.index}"


def parse_ready(fields: str) -> Ready:
    """Parses the fields of a READY message, which ends an answer.

    Raises:
        MalformedLineError: The state or the position is malformed.
    """
    word, _, position = fields.partition(" ")
    state = STATES.get(word)
    if state is None:
        raise MalformedLineError(f"expected a state, got {word!r:.40}")
    return Ready(state, parse_position(position or "-"))


def format_ready(state: SessionState, position: LogPosition | None) -> str:
    """Returns the READY message that ends an answer."""
    return f"READY {STATE_WORDS[state]} {format_position(position)}"


def parse_failure(fields: str) -> Failed:
    """Parses the fields of an ERR message; an unknown code becomes `Code.FAILED`."""
    word, _, text = fields.partition(" ")
    return Failed(code=CODES.get(word, Code.FAILED), reason=text or word)


def format_failure(failure: Failed) -> str:
    """Returns an ERR message, with the time after which to retry if there is one."""
    text = f"ERR {CODE_WORDS[failure.code]} {failure.reason}"
    if failure.retry_after_ms is not None:
        text += f"; retry after {failure.retry_after_ms} ms"
    return text


def parse_statement(text: str) -> Statement:
    """Parses the text of a statement; returns `Unknown` if it is malformed."""
    word, _, rest = text.partition(" ")
    match word:
        case "BEGIN" if rest in ("", "READ"):
            return Begin(read_only=bool(rest))
        case "COMMIT" if not rest:
            return Commit()
        case "ROLLBACK" if not rest:
            return Rollback()
        case "READ" if rest:
            return Read()
        case "WRITE" if rest:
            return Write()
        case "SET":
            return _parse_set(rest)
        case "PREPARE":
            return _parse_prepare(rest)
        case "EXEC" if rest:
            name, _, arguments = rest.partition(" ")
            return Execute(name=name, arguments=arguments)
        case "DEALLOC" if rest:
            return Deallocate(name=rest)
        case _:
            return Unknown(reason=f"not a statement: {text!r:.40}")


def _parse_set(rest: str) -> Statement:
    name, blank, value = rest.partition(" ")
    if not (name and blank):
        return Unknown(reason="SET needs a name and a value")
    return SetValue(name=name, value=value)


def _parse_prepare(rest: str) -> Statement:
    name, _, tail = rest.partition(" ")
    word, _, shape = tail.partition(" ")
    access = ACCESSES.get(word)
    if not (name and access and shape):
        return Unknown(reason="PREPARE needs a name, READ or WRITE, and a shape")
    return Prepare(name=name, access=access, shape=shape)


def format_begin(*, read_only: bool) -> str:
    """Returns the statement that opens a transaction."""
    return "BEGIN READ" if read_only else "BEGIN"


def format_set(name: str, value: str) -> str:
    """Returns the statement that sets a session value."""
    return f"SET {name} {value}"


def format_prepare(name: str, access: Access, shape: str) -> str:
    """Returns the statement that prepares a statement under a name."""
    return f"PREPARE {name} {ACCESS_WORDS[access]} {shape}"


def format_execute(name: str, arguments: str) -> str:
    """Returns the statement that runs a prepared statement."""
    return f"EXEC {name} {arguments}" if arguments else f"EXEC {name}"


def format_min_position(position: LogPosition | None, text: str) -> str:
    """Returns a statement that requires a minimum log position of the instance.

    Args:
        position: Minimum log position that the instance must have, or None if any
            will do.
        text: Text of the statement.
    """
    if position is None:
        return text
    return f"AFTER {format_position(position)} {text}"
