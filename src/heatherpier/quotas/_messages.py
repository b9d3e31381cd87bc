"""Messages between proxies about rights."""

from heatherpier.fleet import Message


class RightsRequest(Message, frozen=True, kw_only=True, tag="rights"):
    """Asks an allocator for rights.

    Attributes:
        asks: Number of rights that are asked for, by organisation.
        version: Version of the sender's configuration.
    """

    asks: dict[str, float]
    version: int


class RightsAnswer(Message, frozen=True, kw_only=True, tag="rights-given"):
    """Answers a `RightsRequest`.

    Attributes:
        given: Number of rights that are given, by organisation.
        retry_ms: Mean time in milliseconds between two rights that the sender can
            expect here, by organisation that got less than it asked for.
        active: Whether the peer is an allocator. If not, it gives nothing.
    """

    given: dict[str, float]
    retry_ms: dict[str, float]
    active: bool = True


QUOTA_MESSAGES = (RightsRequest, RightsAnswer)
