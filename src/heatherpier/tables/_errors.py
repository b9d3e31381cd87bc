"""Errors of the store."""


class StoreError(Exception):
    """Base of all errors of this package."""


class StoreUnavailableError(StoreError):
    """No usable answer came; a change may yet take effect."""


class StoreRefusedError(StoreError):
    """The store rejected the call; nothing changed."""


class ChangeConflictError(StoreError):
    """A row had another version than expected; nothing changed."""


class HistoryLostError(StoreError):
    """The changes since the asked version are no longer kept."""
