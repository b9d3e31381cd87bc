"""Tests the directory of primaries over the platform's table service."""

import pytest

from heatherpier._directory import PlatformDirectory
from heatherpier.bench import MemoryPlatform
from heatherpier.groups import DirectoryError, DirectoryRecord


def make_record(term):
    return DirectoryRecord(
        group="assist-1", term=term, primary=f"assist-1-{term}", proposer="proxy-1"
    )


@pytest.fixture
def platform(timers):
    return MemoryPlatform(timers=timers)


@pytest.fixture
def directory(platform):
    return PlatformDirectory(platform)


async def test_read_returns_none_without_a_record(directory):
    assert await directory.read("assist-1") is None


async def test_first_record_is_read_back(directory):
    assert await directory.record(make_record(2), expected_term=None)
    assert await directory.read("assist-1") == make_record(2)


@pytest.mark.parametrize("expected_term", [None, 1, 3])
async def test_record_of_an_unexpected_term_is_not_stored(directory, expected_term):
    await directory.record(make_record(2), expected_term=None)
    assert not await directory.record(make_record(4), expected_term=expected_term)
    assert await directory.read("assist-1") == make_record(2)


async def test_outage_raises_directory_error(directory, platform):
    platform.faults.down = True
    with pytest.raises(DirectoryError):
        await directory.record(make_record(2), expected_term=None)
