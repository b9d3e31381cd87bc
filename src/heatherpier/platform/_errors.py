"""Errors of the adapter to the platform."""


class PlatformError(Exception):
    """Base of all errors of this package."""


class MalformedLineError(PlatformError):
    """A message does not follow the line protocol."""


class MalformedRecordError(PlatformError):
    """The settings or a record of the store can't be decoded.

    The message names the field.
    """
