"""Writes log lines without blocking and limits repeated ones."""

import os

# Lines beyond this are dropped until the reader has read some.
MAX_BUFFERED_BYTES = 256 * 1024
# Limit of lines with the same message; more in one second add no information.
MAX_LINES_PER_S = 100


class BoundedOutput:
    """A text stream over a file descriptor that drops lines instead of blocking.

    Args:
        descriptor: Open file descriptor; it is set to non-blocking mode.
        max_bytes: Maximum size in bytes of the buffer of unwritten lines.

    Attributes:
        dropped: Count of lines that were dropped.
    """

    def __init__(self, descriptor: int, *, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Buffers one line, or drops it if the buffer has no room for it.

        Returns:
            Characters that were buffered, or 0 if the line was dropped.
        """
        data = text.encode()
        if len(self._buffer) + len(data) > self._max_bytes:
            self.dropped += 1
            return 0
        self._buffer += data
        return len(text)

    def flush(self) -> None:
        """Writes as much of the buffer as possible without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and the error can't be logged anywhere else.
                self.dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]


class LogRateLimiter:
    """Limits how often the same message is written.

    Args:
        per_s: Maximum lines with the same message in one second.
    """

    def __init__(self, *, per_s: int = MAX_LINES_PER_S) -> None:
        self._per_s = per_s
        self._second = 0
        self._counts: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def admit(self, message: str, *, second: int) -> int | None:
        """Decides whether a line may be written, and counts it.

        Args:
            message: Constant text of the line.
            second: Current time in whole seconds.

        Returns:
            None if the line must be suppressed, else how many lines with this message
            were suppressed since the last one that was written.
        """
        if second != self._second:
            self._second = second
            self._counts.clear()
        count = self._counts.get(message, 0)
        self._counts[message] = count + 1
        if count >= self._per_s:
            self._suppressed[message] = self._suppressed.get(message, 0) + 1
            return None
        return self._suppressed.pop(message, 0)
