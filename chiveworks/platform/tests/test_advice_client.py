"""Tests of the client of the placement advice service."""

from result import Err

from chiveworks.base import JobId, Verdict
from chiveworks.platform._advice_client import HttpAdvisor


async def test_a_process_without_an_advice_service_starts():
    """Guards against a process that ends at its start as the setting is missing."""
    advisor = HttpAdvisor('')
    advice = await advisor.advise(JobId('j'), 0, 0, [])
    assert isinstance(advice, Err)
    assert advice.err_value.verdict is Verdict.NOT_RUN
    await advisor.close()
