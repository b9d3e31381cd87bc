"""Session tokens and hints, which callers send with connections and statements."""

from heatherpier.sessions._errors import (
    InvalidHintError,
    InvalidTokenError,
    SessionError,
    TokenTooLargeError,
)
from heatherpier.sessions._hints import (
    CommentedStatement,
    SessionHints,
    parse_attributes,
    split_comment,
)
from heatherpier.sessions._positions import SessionPositions
from heatherpier.sessions._token import SessionToken, TokenSigner

__all__ = [
    "CommentedStatement",
    "InvalidHintError",
    "InvalidTokenError",
    "SessionError",
    "SessionPositions",
    "SessionHints",
    "SessionToken",
    "TokenSigner",
    "TokenTooLargeError",
    "parse_attributes",
    "split_comment",
]
