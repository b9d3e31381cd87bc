"""Deflates large rows that are sent between proxies."""

import zlib

# The fastest level. The next ones make a configuration of 1,400 routes little smaller.
LEVEL = 1
# Largest row that is inflated; the store accepts no larger one.
MAX_INFLATED_BYTES = 8 * 2**20


class DeflateError(Exception):
    """Content can't be inflated."""


def deflate(body: bytes) -> bytes:
    """Returns the deflated content of a row."""
    return zlib.compress(body, LEVEL)


def inflate(body: bytes) -> bytes:
    """Returns the content of a row that was deflated.

    Raises:
        DeflateError: The content is incomplete, malformed or too large.
    """
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(body, MAX_INFLATED_BYTES)
    except zlib.error as exc:
        raise DeflateError(str(exc)) from exc
    if not stream.eof:
        raise DeflateError(
            f"incomplete, or longer than {MAX_INFLATED_BYTES} bytes inflated"
        )
    return content
