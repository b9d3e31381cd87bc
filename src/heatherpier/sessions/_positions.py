"""Minimum positions that the reads of a connection's current session must reach."""

from heatherpier.groups import Group
from heatherpier.positions import LogPosition
from heatherpier.sessions._hints import SessionHints
from heatherpier.sessions._token import SessionToken, TokenSigner


class SessionPositions:
    """Minimum positions of the current session of one connection.

    A connection without a session name is a session of its own. All its writes
    pass through this connection, so the positions recorded here are complete. A
    named session may also write through other connections, so its minimum
    positions are unknown until it has presented its token on this connection.
    """

    def __init__(self) -> None:
        self._session: str | None = None
        self._token = SessionToken()
        self._token_presented = False
        self._reached_by_all: dict[str, LogPosition] = {}

    def enter(self, hints: SessionHints, *, signer: TokenSigner) -> None:
        """Switches to the session that ``hints`` name and merges its token, if given.

        Args:
            hints: Hints of the connection or of one statement.
            signer: Verifies and decodes the token.

        Raises:
            InvalidTokenError: The token is not valid in this deployment.
        """
        token = None if hints.token is None else signer.decode(hints.token)
        if hints.session != self._session:
            # The positions of one session say nothing about the writes of another.
            self._session = hints.session
            self._token = SessionToken()
            self._token_presented = False
        if token is not None:
            self._token = self._token.merged(token)
            self._token_presented = True

    def min_position(self, group: str) -> LogPosition | None:
        """Returns the session's minimum position in ``group``, or None if unknown."""
        if self._session is not None and not self._token_presented:
            return None
        return self._token.min_position(group)

    def advance(self, group: Group, position: LogPosition) -> None:
        """Records a position that the session has written or seen."""
        self._token = self._token.advanced(group.spec.name, position)
        statuses = group.statuses
        # The minimum is valid only if the position of every instance is known.
        if len(statuses) == len(group.pools):
            self._reached_by_all[group.spec.name] = min(
                status.position for status in statuses.values()
            )

    def encode(self, signer: TokenSigner) -> str:
        """Returns the session's current token as text.

        The token counts as presented from now on, since the caller receives it.

        Raises:
            TokenTooLargeError: The session has minimum positions in too many groups.
        """
        text = signer.encode(self._token.trimmed(self._reached_by_all))
        self._token_presented = True
        return text
