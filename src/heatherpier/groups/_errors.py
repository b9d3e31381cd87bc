"""Errors of database groups."""


class GroupError(Exception):
    """Base of all errors of this slice."""


class NoPrimaryError(GroupError):
    """No primary is known for the group."""


class NotAcknowledgedError(GroupError):
    """A majority did not hold a position in time."""


class UnexpectedAnswerError(GroupError):
    """An instance answered a control statement in another form than agreed."""
