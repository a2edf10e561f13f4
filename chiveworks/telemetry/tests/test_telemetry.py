"""Guards against missing or mislabelled metrics and log fields."""

import io
import json
import logging
from datetime import timedelta

import pytest

from chiveworks.base import (
    EntryId,
    ManualClock,
    ServiceClass,
    TenantName,
    Verdict,
    ZoneName,
)
from chiveworks.telemetry import Metrics, log_fields, setup_logging

TENANT = TenantName('quimperle')


@pytest.fixture
def root_logger():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield root
    root.handlers[:] = handlers
    root.setLevel(level)


def test_log_lines_carry_the_fields_of_their_operation(root_logger):
    stream = io.StringIO()
    setup_logging('info', 'laita', stream)
    with log_fields(request='r1', peer='127.0.0.1:9'):
        with log_fields(step='connect', zone='isole'):
            logging.getLogger('x').warning('refused', extra={'job': 'j1'})
    logging.getLogger('x').info('idle %d', 5)
    logging.getLogger('x').debug('not shown')
    first, second = map(json.loads, stream.getvalue().splitlines())
    assert first['at'].startswith('20')
    del first['at'], second['at']
    assert first == {
        'level': 'WARNING',
        'logger': 'x',
        'message': 'refused',
        'request': 'r1',
        'peer': '127.0.0.1:9',
        'step': 'connect',
        'zone': 'isole',
        'job': 'j1',
    }
    assert second == {
        'level': 'INFO',
        'logger': 'x',
        'message': 'idle 5',
        'zone': 'laita',
    }


def test_metrics_objects_are_rendered_separately():
    clock = ManualClock()
    one, other = (
        Metrics(clock, ZoneName(zone), EntryId(zone)) for zone in ('laita', 'isole')
    )
    one.record_latency(
        TENANT, ServiceClass.LATENCY_CRITICAL, timedelta(microseconds=1700)
    )
    one.record_queue_length('batch', 7)
    one.count_eviction(TENANT, 'noisy')
    one.count_retry(Verdict.NOT_RUN)
    one.count_store_call('watch')
    one.add_control_cpu_time(timedelta(milliseconds=100))
    clock.shift(timedelta(seconds=10))
    text = one.render().decode()
    assert (
        'chiveworks_request_duration_milliseconds_bucket{le="2.0",'
        'service_class="latency-critical",tenant="quimperle"} 1.0' in text
    )
    assert 'chiveworks_queue_length{queue="batch"} 7.0' in text
    assert 'chiveworks_evictions_total{cause="noisy",tenant="quimperle"} 1.0' in text
    assert 'chiveworks_retries_total{verdict="not_run"} 1.0' in text
    assert 'chiveworks_store_calls_total{kind="watch"} 1.0' in text
    assert 'chiveworks_control_core_share 0.01' in text
    assert 'quimperle' not in other.render().decode()
    one.close()
    other.close()
