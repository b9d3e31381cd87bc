"""Errors of membership and of messages between proxies."""


class FleetError(Exception):
    """Base of all errors of this package."""


class PeerUnreachableError(FleetError):
    """A peer gave no answer or an empty one; it may have received the message."""


class MalformedMessageError(FleetError):
    """A frame is too large, has an unsupported schema or no known message."""
