"""Fixture: an in-memory deployment for each test."""

import pytest

from chiveworks.dispatch.tests.deployment import InMemoryDeployment


@pytest.fixture
async def deployment():
    created = InMemoryDeployment()
    yield created
    await created.close()
