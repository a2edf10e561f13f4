"""A deployment in memory for each test."""

import pytest

from chiveworks.dispatch.tests.site import Site


@pytest.fixture
async def site():
    created = Site()
    yield created
    await created.close()
