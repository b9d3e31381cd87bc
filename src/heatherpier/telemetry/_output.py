"""Writes log lines without ever waiting for their reader."""

import os

# Lines beyond this wait no longer than until the reader takes some: they are dropped.
MAX_BUFFERED_BYTES = 256 * 1024
# Lines of one message in a second; more of the same tell nothing new.
LINES_PER_S = 100


class BoundedOutput:
    """A text stream over a file descriptor that drops lines instead of blocking.

    Args:
        descriptor: Open file descriptor, which is made non-blocking.
        most_bytes: Bytes that may wait for the reader.
    """

    def __init__(
        self, descriptor: int, *, most_bytes: int = MAX_BUFFERED_BYTES
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._most_bytes = most_bytes
        self._buffer = bytearray()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Takes one line; drops it if too much waits already."""
        data = text.encode()
        if len(self._buffer) + len(data) > self._most_bytes:
            self.dropped += 1
            return 0
        self._buffer += data
        return len(text)

    def flush(self) -> None:
        """Hands over as much as the reader takes now."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is nowhere else to say so.
                self.dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]


class LineBudget:
    """Bounds how often the same message is written.

    Args:
        per_s: Lines of one message in each second.
    """

    def __init__(self, *, per_s: int = LINES_PER_S) -> None:
        self._per_s = per_s
        self._second = 0
        self._counts: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def take(self, message: str, *, second: int) -> int | None:
        """Asks whether a line may be written.

        Args:
            message: Its constant words.
            second: The present second.

        Returns:
            None if not, else how many lines of it were left out before.
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
