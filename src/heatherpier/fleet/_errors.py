"""Errors of the fleet."""


class FleetError(Exception):
    """Base of all errors of this package."""


class PeerUnreachableError(FleetError):
    """A peer did not answer in time; whether it got the message is unknown."""


class MalformedMessageError(FleetError):
    """A frame is too large, of an unknown schema or not a known message."""
