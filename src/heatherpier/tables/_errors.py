"""Errors of the coordination store."""


class StoreError(Exception):
    """Base of all errors of this package."""


class StoreUnavailableError(StoreError):
    """The store gave no usable answer; a change may still take effect."""


class StoreRefusedError(StoreError):
    """The store rejected the call; nothing changed."""


class ChangeConflictError(StoreError):
    """A row does not have the expected version; nothing changed."""


class HistoryLostError(StoreError):
    """The store no longer keeps the changes since the requested version."""
