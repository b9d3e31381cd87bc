"""Log fields that are bound to the running task, such as those of a connection."""

from contextvars import ContextVar

_fields: ContextVar[dict[str, str] | None] = ContextVar("log_fields", default=None)


def bind_log_fields(**fields: str) -> None:
    """Adds fields to the log lines of the running task.

    An empty value removes the field.
    """
    merged = {**bound_log_fields(), **fields}
    _fields.set({name: value for name, value in merged.items() if value})


def bound_log_fields() -> dict[str, str]:
    """Returns the log fields that are bound to the running task."""
    return _fields.get() or {}
