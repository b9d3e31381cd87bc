"""Epochs of a store that can be restored from an older backup.

A restore discards the newest changes, and their versions are given out again. The store
counts its restores in an epoch, so only epoch and number together identify a version.
Both are kept in one integer, which rises across restores, fits a float without loss,
and equals the store's own number until the first restore.
"""

from heatherpier.tables._errors import (
    ChangeConflictError,
    HistoryLostError,
    StoreUnavailableError,
)

# Width of the store's own number within a version. Versions of the first 8,000 epochs
# stay below 2**53.
NUMBER_BITS = 40


def make_version(epoch: int, number: int) -> int:
    """Returns the version with a store's own number in one of its epochs."""
    return (epoch << NUMBER_BITS) + number


def epoch_of(version: int) -> int:
    """Returns the epoch of a version."""
    return version >> NUMBER_BITS


def number_of(version: int) -> int:
    """Returns the store's own number of a version."""
    return version & ((1 << NUMBER_BITS) - 1)


class StoreEpoch:
    """The newest epoch that a client of the store has seen, and checks against it.

    Attributes:
        newest: The newest epoch seen.
    """

    def __init__(self) -> None:
        self.newest = 0

    def note(self, epoch: int) -> None:
        """Records the epoch of an answer.

        Raises:
            StoreUnavailableError: The answer is from before a restore, so what it says
                may be lost.
        """
        if epoch < self.newest:
            raise StoreUnavailableError(
                f"answer of epoch {epoch} after epoch {self.newest} was seen"
            )
        self.newest = epoch

    def check_watch(self, after: int) -> None:
        """Checks before a watch that it starts from a version of this epoch.

        Args:
            after: Version after which changes are requested; 0 requests all.

        Raises:
            HistoryLostError: The version is of an earlier epoch. Its number may stand
                for another change now.
        """
        if after and epoch_of(after) < self.newest:
            raise HistoryLostError(_mismatch(after, self.newest))

    def check_watched(self, after: int, *, answered_in: int) -> None:
        """Checks that a watch was answered in the epoch that it asked in.

        Raises:
            HistoryLostError: The store has another epoch.
        """
        if after and epoch_of(after) != answered_in:
            raise HistoryLostError(_mismatch(after, answered_in))

    def check_expected(self, expected: int) -> None:
        """Checks before a conditional write that it expects a version of this epoch.

        Raises:
            ChangeConflictError: The version is of an earlier epoch. The store does not
                check epochs, and the number may stand for another change now.
        """
        if expected and epoch_of(expected) < self.newest:
            raise ChangeConflictError(_mismatch(expected, self.newest))

    def check_written(self, expected: int, *, answered_in: int) -> None:
        """Checks that a conditional write was made in the epoch that it expected.

        Raises:
            StoreUnavailableError: The store was restored before the write, which was
                made on a row that its writer has not seen.
        """
        if expected and epoch_of(expected) != answered_in:
            raise StoreUnavailableError(
                f"written in epoch {answered_in}, expected epoch {epoch_of(expected)}"
            )


def _mismatch(version: int, epoch: int) -> str:
    return (
        f"version {number_of(version)} is of epoch {epoch_of(version)}, "
        f"the store is in epoch {epoch}"
    )
