import asyncio

import pytest


@pytest.fixture(scope="session")
def event_loop_policy(request):
    """Returns the policy of real time, which tests that open sockets need."""
    return asyncio.DefaultEventLoopPolicy()
