"""Errors of the platform's services."""


class PlatformError(Exception):
    """Base of all errors of this package."""


class PlatformUnavailableError(PlatformError):
    """No answer came, so a change may have taken effect or not."""


class ThrottledError(PlatformError):
    """The service refused the call because there are too many; nothing changed."""


class ConflictError(PlatformError):
    """A conditional change found another version than expected; nothing changed."""
