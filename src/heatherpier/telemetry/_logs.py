"""Writes log records as JSON lines."""

import sys
from typing import Any, TextIO

import logbook
import msgspec

from heatherpier.telemetry._context import bound_log_fields
from heatherpier.telemetry._output import BoundedOutput, LogRateLimiter


def get_logger(name: str) -> logbook.Logger:
    """Returns a logger.

    Args:
        name: Its name in the log lines, mostly that of the package.
    """
    return logbook.Logger(name)


class JsonHandler(logbook.Handler):
    """Writes each record as one JSON object on a line.

    Args:
        stream: Stream that lines are written to. Defaults to standard error.
        level: Minimum level that is written, such as ``"INFO"``.
        fields: Constant fields of every line, such as the proxy's name.
        rate_limiter: Limits how often the same message is written; None for no limit.
    """

    def __init__(
        self,
        *,
        stream: TextIO | BoundedOutput | None = None,
        level: str = "INFO",
        fields: dict[str, str] | None = None,
        rate_limiter: LogRateLimiter | None = None,
    ) -> None:
        super().__init__(level=logbook.lookup_level(level))
        self._stream = stream or sys.stderr
        self._fields = fields or {}
        self._rate_limiter = rate_limiter
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def set_level(self, level: str) -> None:
        """Changes the minimum level that is written.

        Raises:
            LookupError: The level is unknown.
        """
        self.level = logbook.lookup_level(level)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes ``record``, unless its message has reached the rate limit."""
        suppressed = 0
        if self._rate_limiter is not None:
            second = int(record.time.timestamp())
            allowed = self._rate_limiter.admit(record.message, second=second)
            if allowed is None:
                return
            suppressed = allowed
        line: dict[str, Any] = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name,
            "logger": record.channel,
            "message": record.message,
            **self._fields,
            **bound_log_fields(),
            **(record.kwargs or {}),
        }
        if suppressed:
            line["suppressed"] = suppressed
        if record.exc_info:
            line["exception"] = record.formatted_exception
        self._stream.write(self._encoder.encode(line).decode() + "\n")
        if not isinstance(self._stream, BoundedOutput):
            self._stream.flush()
