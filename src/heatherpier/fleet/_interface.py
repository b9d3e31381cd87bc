"""Interface of the network through which proxies exchange messages."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from heatherpier.fleet._messages import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """Address and data centre of one proxy.

    Attributes:
        name: Name that is unique in the deployment.
        host: IP address.
        port: TCP port for messages between proxies.
        data_centre: Data centre of its VM.
    """

    name: str
    host: str
    port: int
    data_centre: str


MessageT = TypeVar("MessageT", bound=Message)
# Takes the name of the sending proxy and its message. Returns the answer, or None to
# send an empty one.
Handler = Callable[[str, MessageT], Awaitable[Message | None]]


class PeerNetwork(Protocol):
    """Sends requests to other proxies and answers theirs."""

    async def request(
        self, peer: Peer, message: Message, *, timeout_s: float
    ) -> Message:
        """Sends ``message`` and returns the peer's answer.

        Args:
            peer: Receiver.
            message: Message of a registered type.
            timeout_s: Time limit for the answer in seconds.

        Raises:
            PeerUnreachableError: No answer came in time, or an empty one.
        """

    async def refuses(self, peer: Peer, *, timeout_s: float) -> bool:
        """Returns whether the peer's VM refuses connections to the peer's port.

        True means that no process listens there. False means that one does, or
        that the VM gave no answer.

        Args:
            peer: Peer to connect to.
            timeout_s: Time limit for the connection attempt in seconds.
        """

    def handle(self, kind: type[MessageT], handler: Handler[MessageT]) -> None:
        """Registers the handler for messages of one type.

        Args:
            kind: Type of message.
            handler: Takes the sender's name and the message, and returns the answer.
        """
