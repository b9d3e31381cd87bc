"""Submissions under faults of the platform and concurrent submissions."""

import pytest

from heatherpier.bench import MemoryPlatform
from heatherpier.configuration import (
    Publisher,
    Submission,
    SubmissionConflictError,
    SubmissionUnknownError,
)
from heatherpier.configuration.tests.conftest import make_document


@pytest.fixture
def platform(timers):
    return MemoryPlatform(timers=timers)


@pytest.fixture
def publisher(platform, timers):
    return Publisher(tables=platform, objects=platform, timers=timers)


def make_submission(submission="s1", *, base_version=0, services=("assist",)):
    return Submission(
        document=make_document(*services),
        author="mai",
        submission=submission,
        base_version=base_version,
    )


async def test_first_document_becomes_version_1(publisher):
    head = await publisher.submit(make_submission())
    assert head.version == 1


async def test_submission_is_accepted_once_when_answers_are_lost(publisher, platform):
    platform.faults.lose_answers = 3
    head = await publisher.submit(make_submission())
    assert (head.version, head.version_of("s1")) == (1, 1)


async def test_submitting_again_is_idempotent(publisher):
    await publisher.submit(make_submission())
    head = await publisher.submit(make_submission())
    assert head.version == 1


async def test_submitting_again_after_another_was_accepted_is_idempotent(publisher):
    await publisher.submit(make_submission())
    await publisher.submit(make_submission("s2", base_version=1))
    head = await publisher.submit(make_submission())
    assert head.version_of("s1") == 1


async def test_conflict_names_the_changed_services(publisher):
    await publisher.submit(make_submission())
    await publisher.submit(
        make_submission("s2", base_version=1, services=("assist", "claims"))
    )
    with pytest.raises(SubmissionConflictError, match="changed claims") as caught:
        await publisher.submit(make_submission("s3", base_version=1))
    assert caught.value.version == 2


async def test_outage_leaves_the_submission_unknown(publisher, platform):
    platform.faults.down = True
    with pytest.raises(SubmissionUnknownError, match="'s1'"):
        await publisher.submit(make_submission())


async def test_unknown_submission_is_accepted_when_submitted_again(publisher, platform):
    platform.faults.lose_answers = 100
    with pytest.raises(SubmissionUnknownError):
        await publisher.submit(make_submission())
    platform.faults.lose_answers = 0
    head = await publisher.submit(make_submission())
    assert head.version == 1


async def test_throttled_submission_changes_nothing(publisher, platform):
    platform.faults.throttled = True
    with pytest.raises(SubmissionUnknownError):
        await publisher.submit(make_submission())
    assert platform.records == {}
