"""Which requests a home has received, so that none runs twice."""

from collections import OrderedDict

# Links of one sender that are remembered one by one. At 1,000 requests per second from
# a sender, this covers the longest time for which the network may delay a message.
MAX_LINKS = 4096
_ENDED = 1 << 62


class Receipts:
    """Remembers the requests of one incarnation of a sender.

    A link older than all that are remembered counts as received: a request that is
    refused here although it is the first is answered as "may have run", which is true.
    """

    def __init__(self) -> None:
        self._steps: OrderedDict[int, int] = OrderedDict()
        self._floor = 0

    def admit(self, link: int, step: int, *, held: bool = False) -> bool:
        """Records a request and returns whether it is received for the first time.

        Args:
            link: Number of the link.
            step: Number of the request within the link.
            held: Whether a transaction of the link is open here, so that the link is
                known although it may be older than all that are remembered.
        """
        last = self._steps.get(link)
        if last is None and link <= self._floor and not held:
            return False
        if last is not None and step <= last:
            return False
        self._record(link, step)
        return True

    def close(self) -> None:
        """Admits no further request: a later incarnation of the sender has started."""
        self._steps.clear()
        self._floor = _ENDED

    def end(self, link: int) -> None:
        """Admits no further request of a link."""
        if link > self._floor:
            self._record(link, _ENDED)

    def ended(self, link: int) -> bool:
        """Returns whether the sender has ended a link."""
        return self._steps.get(link) == _ENDED

    def _record(self, link: int, step: int) -> None:
        self._steps[link] = step
        self._steps.move_to_end(link)
        if len(self._steps) > MAX_LINKS:
            oldest, _ = self._steps.popitem(last=False)
            self._floor = max(self._floor, oldest)
