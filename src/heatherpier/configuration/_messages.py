"""Messages by which configuration spreads between peers."""

from heatherpier.configuration._head import Head
from heatherpier.fleet import Message


class HeadNotice(Message, frozen=True, tag="head_notice"):
    """Tells a peer of a head that was accepted.

    Attributes:
        head: The head.
    """

    head: Head


class HeadRequest(Message, frozen=True, tag="head_request"):
    """Asks a peer for the active head there."""


class HeadReply(Message, frozen=True, tag="head_reply"):
    """Answers a `HeadNotice` or a `HeadRequest`.

    Attributes:
        head: The active head at the answering peer, or None.
    """

    head: Head | None


class BlobsRequest(Message, frozen=True, tag="blobs_request"):
    """Asks a peer for sections or manifests.

    Attributes:
        digests: Their digests.
    """

    digests: tuple[str, ...]


class BlobsReply(Message, frozen=True, tag="blobs_reply"):
    """Answers a `BlobsRequest` with those that the peer has.

    Attributes:
        blobs: Blobs by digest; a large answer holds only some.
    """

    blobs: dict[str, bytes]


MESSAGES: tuple[type[Message], ...] = (
    HeadNotice,
    HeadRequest,
    HeadReply,
    BlobsRequest,
    BlobsReply,
)
