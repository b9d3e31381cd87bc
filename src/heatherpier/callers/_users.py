"""Looks up the password hashes of callers."""

from collections.abc import Mapping

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User

# Hash of an unknown user. No password has it, so an unknown user gets the same
# error as a wrong password, and callers can't find out which users exist.
UNKNOWN_USER_HASH = "0" * 40


class Users(IdentityProvider):
    """Provides users with the password hashes of the settings.

    Args:
        password_hashes: Hash of each user's password, by user name.
    """

    def __init__(self, password_hashes: Mapping[str, str]) -> None:
        self._password_hashes = password_hashes

    async def get_user(self, username: str) -> User:
        """Returns the user of a name, unknown ones with a hash that never matches."""
        return User(
            name=username,
            auth_string=self._password_hashes.get(username, UNKNOWN_USER_HASH),
            auth_plugin=NativePasswordAuthPlugin.name,
        )
