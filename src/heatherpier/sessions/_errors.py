"""Errors of sessions."""


class SessionError(Exception):
    """Base of all errors of this slice."""


class InvalidTokenError(SessionError):
    """A token is malformed, tampered with, too old or of another deployment."""
