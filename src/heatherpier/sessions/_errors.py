"""Errors of sessions."""


class SessionError(Exception):
    """Base of all errors of this package."""


class InvalidTokenError(SessionError):
    """A token is malformed, tampered with, of a retired key or another deployment."""


class TokenTooLargeError(SessionError):
    """A session has minimum positions in more groups than one token holds."""


class InvalidHintError(SessionError):
    """A hint has an unknown name or a value that is not allowed."""
