"""Errors of database groups."""


class GroupError(Exception):
    """Base of all errors of this package."""


class NoPrimaryError(GroupError):
    """No primary of the group is known, or a majority has left its term."""


class NotAcknowledgedError(GroupError):
    """No majority confirmed a position or a term in time."""


class UnexpectedAnswerError(GroupError):
    """The answer to a control statement does not have the expected form."""


class PromotionError(GroupError):
    """A change of primary failed before its promotion was confirmed."""


class NotFencedError(PromotionError):
    """The proposed term was not adopted by a majority, or not by the old primary."""


class DirectoryError(GroupError):
    """The directory did not answer. A record may have been stored nevertheless."""
