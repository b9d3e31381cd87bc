"""Errors of session tokens and hints."""


class SessionError(Exception):
    """Base class of all errors of this package."""


class InvalidTokenError(SessionError):
    """A token is malformed or not signed by a current key of this deployment."""


class TokenTooLargeError(SessionError):
    """A session has minimum positions in more groups than a token can hold."""


class InvalidHintError(SessionError):
    """A hint has an unknown name or a value that is not allowed."""
