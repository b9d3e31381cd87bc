"""Errors of one instance that its callers do not expect."""

import logbook
import pytest
from prometheus_client import CollectorRegistry

from heatherpier._guarded_ports import (
    MAX_LOGGED,
    GuardedConnector,
    GuardedControl,
    UnexpectedErrors,
)
from heatherpier.discovery import InstanceRecord
from heatherpier.leases import ControlError, InstanceFullError
from heatherpier.upstreams import ConnectError, Instance, TooManyConnectionsError

METRIC = "heatherpier_unexpected_instance_errors_total"
INSTANCE = Instance(name="i-1", host="10.0.0.1", port=1, data_centre="north")
RECORD = InstanceRecord(
    instance=INSTANCE,
    service="claims",
    claims_primary=False,
    started_ms=7,
    sequence=1,
)


class Raising:
    """Raises the same error from each method of both interfaces."""

    def __init__(self, error):
        self.error = error

    async def connect(self, instance, *, service, organisation=""):
        raise self.error

    async def replication_status(self, record, *, timeout_s):
        raise self.error

    async def demote(self, record, *, term, timeout_s):
        raise self.error


@pytest.fixture
def metrics():
    return CollectorRegistry()


@pytest.fixture
def errors(metrics):
    return UnexpectedErrors(metrics)


def count(metrics, action):
    return metrics.get_sample_value(METRIC, {"action": action})


@pytest.mark.parametrize(
    "error", [UnicodeError("label empty"), KeyError("i-1"), RecursionError()], ids=repr
)
async def test_an_unexpected_error_becomes_that_of_the_interface(
    errors, metrics, error
):
    # Guards against one instance whose errors end what is decided for all of them.
    raising = Raising(error)
    with pytest.raises(ConnectError, match="i-1: unexpected"):
        await GuardedConnector(raising, errors=errors).connect(INSTANCE, service="a")
    control = GuardedControl(raising, errors=errors)
    with pytest.raises(ControlError, match="i-1: unexpected"):
        await control.replication_status(RECORD, timeout_s=1.0)
    with pytest.raises(ControlError, match="i-1: unexpected"):
        await control.demote(RECORD, term=2, timeout_s=1.0)
    assert [count(metrics, item) for item in ("connect", "status", "demote")] == [1] * 3


async def test_expected_errors_pass_unchanged(errors, metrics):
    # Guards against a full instance that counts as lost.
    with pytest.raises(TooManyConnectionsError):
        await GuardedConnector(
            Raising(TooManyConnectionsError("i-1")), errors=errors
        ).connect(INSTANCE, service="a")
    with pytest.raises(InstanceFullError):
        await GuardedControl(
            Raising(InstanceFullError("i-1")), errors=errors
        ).replication_status(RECORD, timeout_s=1.0)
    assert count(metrics, "connect") is None
    assert count(metrics, "status") is None


async def test_the_first_error_of_an_instance_is_logged(errors, metrics):
    # Guards against an entry that fills the log, and against one that nothing shows.
    control = GuardedControl(Raising(KeyError("i-1")), errors=errors)
    with logbook.TestHandler() as handler:
        for _ in range(3):
            with pytest.raises(ControlError):
                await control.replication_status(RECORD, timeout_s=1.0)
    assert len(handler.records) == 1
    assert handler.records[0].exc_info
    assert count(metrics, "status") == 3


async def test_the_memory_of_logged_instances_is_bounded(errors):
    # Guards against a leak by entries whose names never repeat.
    for number in range(2 * MAX_LOGGED):
        errors.note(f"i-{number}", KeyError(number), action="connect")
    assert len(errors._logged) <= MAX_LOGGED
