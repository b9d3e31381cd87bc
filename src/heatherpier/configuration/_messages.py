"""Messages that distribute the configuration between peers."""

from heatherpier.configuration._head import Head
from heatherpier.fleet import Message


class HeadNotice(Message, frozen=True, tag="head_notice"):
    """Notifies a peer of an accepted head.

    Attributes:
        head: Accepted head.
    """

    head: Head


class HeadRequest(Message, frozen=True, tag="head_request"):
    """Asks a peer for its active head."""


class HeadReply(Message, frozen=True, tag="head_reply"):
    """Answers a `HeadNotice` or a `HeadRequest`.

    Attributes:
        head: Active head of the answering peer. None if it has none yet, and always in
            the answer to a `HeadNotice`.
    """

    head: Head | None


class BlobsRequest(Message, frozen=True, tag="blobs_request"):
    """Asks a peer for sections or manifests.

    Attributes:
        digests: Digests of the blobs.
    """

    digests: tuple[str, ...]


class BlobsReply(Message, frozen=True, tag="blobs_reply"):
    """Answers a `BlobsRequest`.

    Attributes:
        blobs: Requested blobs that the peer has, by digest. If they exceed the size
            limit of a reply, only some of them; the others have to be requested again.
    """

    blobs: dict[str, bytes]


MESSAGES: tuple[type[Message], ...] = (
    HeadNotice,
    HeadRequest,
    HeadReply,
    BlobsRequest,
    BlobsReply,
)
