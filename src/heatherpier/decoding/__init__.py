"""What the decoders of data from other processes may raise."""

import msgspec

# A decoder raises RecursionError for deeply nested data, and ValueError for some texts and
# numbers. Callers turn these into an error of their own layer, as they do MsgspecError.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)

__all__ = ["DECODE_ERRORS"]
