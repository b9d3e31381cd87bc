"""Checks the passwords of callers."""

from collections.abc import Mapping

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User

# No password has this hash, so an unknown user fails like a wrong password and
# the answer does not tell which users exist.
NO_PASSWORD_HASH = "0" * 40


class Users(IdentityProvider):
    """Checks passwords against the hashes of the settings.

    Args:
        password_hashes: Hash of each user's password, by user name.
    """

    def __init__(self, password_hashes: Mapping[str, str]) -> None:
        self._password_hashes = password_hashes

    async def get_user(self, username: str) -> User:
        """Returns the user that a caller claims to be."""
        return User(
            name=username,
            auth_string=self._password_hashes.get(username, NO_PASSWORD_HASH),
            auth_plugin=NativePasswordAuthPlugin.name,
        )
