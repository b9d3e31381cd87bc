"""Which minimum positions hold for the session that a connection serves now."""

from heatherpier.groups import Group, LogPosition
from heatherpier.sessions._hints import SessionHints
from heatherpier.sessions._token import SessionToken, TokenSigner


class SessionPositions:
    """The minimum positions of one connection's session.

    A connection without a session name is a session of its own: all its writes
    pass here, so what it has learnt is enough. A named session may write
    through other connections as well, so its minimum positions are known only once it has
    presented its token here.
    """

    def __init__(self) -> None:
        self._session: str | None = None
        self._token = SessionToken()
        self._presented = False
        self._settled: dict[str, LogPosition] = {}

    def enter(self, hints: SessionHints, *, signer: TokenSigner) -> None:
        """Makes the session that ``hints`` name the current one.

        Args:
            hints: Hints of the connection or of one statement.
            signer: Reads the token, if one is given.

        Raises:
            InvalidTokenError: The token is not valid here.
        """
        token = None if hints.token is None else signer.decode(hints.token)
        if hints.session != self._session:
            # Another session's minimum positions say nothing of this one's writes.
            self._session = hints.session
            self._token = SessionToken()
            self._presented = False
        if token is not None:
            self._token = self._token.merged(token)
            self._presented = True

    def min_position(self, group: str) -> LogPosition | None:
        """Returns the minimum position of the session in ``group``, or None if unknown."""
        if self._session is not None and not self._presented:
            return None
        return self._token.min_position(group)

    def advance(self, group: Group, position: LogPosition) -> None:
        """Takes in a position that the session has written or seen."""
        self._token = self._token.raised(group.spec.name, position)
        statuses = group.statuses
        if len(statuses) == len(group.pools):
            self._settled[group.spec.name] = min(
                status.position for status in statuses.values()
            )

    def encode(self, signer: TokenSigner) -> str:
        """Returns the session's token as text, for the session to carry from now on.

        Raises:
            TokenTooLargeError: It has minimum positions in too many groups.
        """
        text = signer.encode(self._token.trimmed(self._settled))
        self._presented = True
        return text
