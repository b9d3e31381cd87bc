"""Session tokens: signed sets of floors that callers carry between proxies."""

from heatherpier.sessions._errors import InvalidTokenError, SessionError
from heatherpier.sessions._token import SessionToken, TokenSigner

__all__ = ["InvalidTokenError", "SessionError", "SessionToken", "TokenSigner"]
