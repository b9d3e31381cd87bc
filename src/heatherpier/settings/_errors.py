"""Errors of settings and documents."""

from collections.abc import Sequence


class InvalidSettingsError(Exception):
    """Settings or a document did not validate.

    Attributes:
        faults: One sentence for each fault: path, value and what was expected.
    """

    def __init__(self, source: str, faults: Sequence[str]) -> None:
        self.faults = tuple(faults)
        super().__init__(f"{source}: " + "; ".join(self.faults))
