"""Errors of database groups."""


class GroupError(Exception):
    """Base of all errors of this package."""


class NoPrimaryError(GroupError):
    """No primary is known for the group."""


class NotAcknowledgedError(GroupError):
    """A majority did not hold a position in time."""


class UnexpectedAnswerError(GroupError):
    """An instance answered a control statement in another form than agreed."""


class PromotionError(GroupError):
    """A change of primary was not completed."""


class NotFencedError(PromotionError):
    """A majority did not adopt the proposed term."""


class DirectoryError(GroupError):
    """The directory did not answer, or its answer was lost after the effect."""
