"""Fields that all log lines of one caller's connection carry."""

from contextvars import ContextVar

_fields: ContextVar[dict[str, str] | None] = ContextVar("log_fields", default=None)


def bind_log_fields(**fields: str) -> None:
    """Adds fields to the log lines of the running task; an empty one is dropped."""
    merged = {**bound_log_fields(), **fields}
    _fields.set({name: value for name, value in merged.items() if value})


def bound_log_fields() -> dict[str, str]:
    """Returns the fields of the running task."""
    return _fields.get() or {}
