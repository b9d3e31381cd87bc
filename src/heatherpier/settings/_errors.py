"""Errors of loading settings and documents."""

from collections.abc import Sequence


class InvalidSettingsError(Exception):
    """Settings or a document can't be read or are invalid.

    Attributes:
        faults: One text for each fault: the path of the field, what was expected and,
            unless it may be secret, the value.
    """

    def __init__(self, source: str, faults: Sequence[str]) -> None:
        self.faults = tuple(faults)
        super().__init__(f"{source}: " + "; ".join(self.faults))
