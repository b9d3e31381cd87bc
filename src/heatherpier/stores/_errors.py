"""Errors of the table service and object store."""


class PlatformError(Exception):
    """Base class of all errors of this package."""


class PlatformUnavailableError(PlatformError):
    """No usable answer arrived, so the outcome of a change is unknown."""


class ThrottledError(PlatformError):
    """The service rejected the call by its rate limit; nothing changed."""


class ConflictError(PlatformError):
    """The stored version differs from the expected one; nothing changed."""
