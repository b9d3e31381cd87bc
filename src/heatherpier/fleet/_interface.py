"""What other packages need from the connections between proxies."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from heatherpier.fleet._messages import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """Address and place of one proxy.

    Attributes:
        name: Name that is unique in the deployment.
        host: IP address.
        port: TCP port for peers.
        data_centre: Data centre of its VM.
    """

    name: str
    host: str
    port: int
    data_centre: str


Kind = TypeVar("Kind", bound=Message)
Handler = Callable[[str, Kind], Awaitable[Message | None]]


class PeerNetwork(Protocol):
    """Requests and answers between proxies."""

    async def request(
        self, peer: Peer, message: Message, *, timeout_s: float
    ) -> Message:
        """Sends ``message`` and returns the peer's answer.

        Args:
            peer: Receiver.
            message: Any registered message.
            timeout_s: Longest wait for the answer, in seconds.

        Raises:
            PeerUnreachableError: No answer came in time.
        """

    async def refuses(self, peer: Peer, *, timeout_s: float) -> bool:
        """Tells whether the peer's VM answers that no process listens there.

        Args:
            peer: The peer.
            timeout_s: Longest wait in seconds.
        """

    def handle(self, kind: type[Kind], handler: Handler[Kind]) -> None:
        """Registers who answers messages of one type.

        Args:
            kind: Type of message.
            handler: Gets the sender's name and the message; returns the answer.
        """
