"""Errors of the border to the platform."""


class PlatformError(Exception):
    """Base of all errors of this package."""


class MalformedLineError(PlatformError):
    """A message does not fit the line protocol."""


class MalformedRecordError(PlatformError):
    """Settings or a record of the store can't be read; the message names the field."""
