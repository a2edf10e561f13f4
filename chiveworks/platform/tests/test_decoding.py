"""Decoding of valid and malformed data from operators, workers and clients."""

import json
import tracemalloc
from datetime import timedelta
from pathlib import Path

import pytest

from chiveworks.base import Resources
from chiveworks.guard import ClientBudget
from chiveworks.intake import IntakeLimits
from chiveworks.platform import read_boot_settings
from chiveworks.platform._decoding import (
    decode_job,
    decode_operator_entry,
    decode_worker,
)
from chiveworks.platform._fields import parse_json
from chiveworks.platform._worker_reports import decode_ref, encode_ref

WORKER = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'state': 'draining',
    'remaining_ms': 1500,
    'clock_ms': 482113,
    'capacity': {'cpu': 16000, 'mem_mb': 2},
    'labels': ['a', 'r1-3'],
    'born': 7,
}
CONFIG = {
    'version': 7,
    'routes': [
        {'name': 'r', 'host': 'h', 'prefix': '/p/', 'service': 's', 'max_attempts': 3}
    ],
    'services': [{'name': 's', 'enforces_capacity': True}],
}


def test_a_worker_entry_is_decoded():
    """Guards against wrong units and swapped labels."""
    info = decode_worker('w', json.dumps(WORKER).encode())
    assert info.draining and info.rack == 'r1-3' and info.born_ms == 7
    assert info.remaining == timedelta(seconds=1.5)
    assert info.written_at == timedelta(seconds=482.113)
    assert info.capacity == Resources(16000, 2 * 1024 * 1024)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\xff',
        b'[]',
        b'{}',
        b'[' * 100_000,
        json.dumps({**WORKER, 'state': 'odd'}).encode(),
    ],
)
def test_malformed_worker_entries_are_skipped(content):
    """Guards against an exception in the process on a malformed worker entry."""
    with pytest.raises(ValueError):
        decode_worker('w', content)


def test_the_configuration_is_decoded():
    """Guards against queues and services that are lost in decoding."""
    catalogue = decode_operator_entry('config', json.dumps(CONFIG).encode())
    assert catalogue.find('h', '/p/0').policy.attempt_limit == 3
    assert catalogue.services == {'s': True}
    with pytest.raises(ValueError, match='not JSON'):
        decode_operator_entry('config', b'{"version":')
    assert decode_operator_entry('evacuate/z', b'{}') == 'evacuate/z'


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{"steps":[]}',
        b'{"steps":[{"count":0}]}',
        b'{"steps":[{"count":1,"cpu":-1}]}',
        b'{"steps":[{"count":1,"after":[0]}]}',
        b'{"steps":[{"count":1e999}]}',
        b'{"steps":[{"count":1,"after":[1]},{"count":1}]}',
        b'{"steps":[{"count":"x"}]}',
        b'\xff\xfe',
        b'[' * 100_000,
    ],
)
def test_bad_jobs_are_rejected(body):
    """Guards against invalid client input that reaches the scheduler."""
    with pytest.raises(ValueError):
        decode_job(body)


def test_omitted_job_fields_default_to_zero():
    """Guards against rejecting a job because its zero or false fields are omitted."""
    spec = decode_job(b'{"spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":1}]}')
    step = spec.steps[0]
    assert step.demand == Resources(500, 1024 * 1024)
    assert not step.gang and not step.serves and spec.recurrence is None


def test_steps_beyond_the_limit_are_not_built():
    """Guards against a legal body of empty steps that costs 26 MB of objects."""
    body = b'{"steps":[' + b','.join([b'{}'] * 87_000) + b']}'
    tracemalloc.start()
    parse_json(body)
    parsed_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.reset_peak()
    with pytest.raises(ValueError, match='more than 256 steps'):
        decode_job(body)
    decoded_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert decoded_bytes < 1.1 * parsed_bytes


def test_task_names_are_decoded_and_encoded_without_change():
    """Guards against reports that are attributed to another task."""
    name = '5c0e7a21d94b36f8.0.1.17'
    assert encode_ref(decode_ref(name)) == name


def test_settings_are_read(tmp_path: Path):
    """Guards against a process that fails to start on an unknown settings field."""
    path = tmp_path / 'local.toml'
    path.write_text(
        'node = "n"\nzone = "z"\nnews = 1\n'
        '[listen]\nfront = "10.0.0.1:1"\nready = "10.0.0.1:2"\n'
        '[limits]\ncpu_share = 0.5\ncores = 2\n'
        '[bounds]\ngrace_s = 6\nhold_max_ms = 6000\nearly_ms = 250\nstatus_s = 120\nquota_overrun = 0.1\n'
        '[platform]\naddress = "10.0.0.9:3"\n'
    )
    settings = read_boot_settings(path)
    assert settings.front == ('10.0.0.1', 1) and settings.cores == 1.0
    assert settings.bounds.lease_limit == timedelta(seconds=6)
    assert settings.bounds.account_overrun == 0.1
    assert not settings.cloud
    assert settings.clients == ClientBudget.derive(200, 4100)


@pytest.mark.parametrize(
    ('bounds', 'limit'),
    [
        ('', None),
        ('revoke_ms = 5000', None),
        ('revoke_fail_closed = false\nrevoke_ms = 5000', None),
        ('revoke_fail_closed = true\nrevoke_ms = 4000', timedelta(seconds=4)),
        ('revoke_fail_closed = true', timedelta(seconds=5)),
    ],
)
def test_the_limit_of_revocations_holds_only_where_it_is_asked_for(
    tmp_path: Path, bounds, limit
):
    """Guards against processes that refuse clients, or serve them, against settings."""
    path = tmp_path / 'local.toml'
    path.write_text(
        'node = "n"\nzone = "z"\n[listen]\nfront = "h:1"\nready = "h:2"\n'
        '[limits]\ncpu_share = 0.5\ncores = 2\n[platform]\naddress = "h:3"\n'
        f'[bounds]\ngrace_s = 6\n{bounds}\n'
    )
    settings = read_boot_settings(path)
    assert settings.revocation_limit == limit
    assert settings.bounds.account_overrun == 0


def test_the_factor_of_remote_runs_is_read(tmp_path: Path):
    """Guards against waits for near workers on deployments without the setting."""
    path = tmp_path / 'local.toml'
    text = (
        'node = "n"\nzone = "z"\n'
        '[listen]\nfront = "10.0.0.1:1"\nready = "10.0.0.1:2"\n'
        '[limits]\ncpu_share = 0.5\ncores = 2\n'
        '[platform]\naddress = "10.0.0.9:3"\n[bounds]\ngrace_s = 6\n'
    )
    path.write_text(text)
    assert read_boot_settings(path).bounds.remote_factor == 1
    path.write_text(f'{text}remote_factor = 1.5\n')
    assert read_boot_settings(path).bounds.remote_factor == 1.5


def test_the_budget_of_clients_is_read(tmp_path: Path):
    """Guards against a budget that does not follow the machine or its own settings."""
    path = tmp_path / 'local.toml'
    head = (
        'node = "n"\nzone = "z"\n'
        '[listen]\nfront = "10.0.0.1:1"\nready = "10.0.0.1:2"\n'
        '[platform]\naddress = "10.0.0.9:3"\n[bounds]\ngrace_s = 6\n'
        '[limits]\ncpu_share = 0.5\ncores = 2\nmemory_mb = 96\nmax_fds = 500\n'
    )
    path.write_text(head)
    assert read_boot_settings(path).clients == ClientBudget.derive(96, 500)
    path.write_text(head + 'client_connections = 7\nclient_memory_mb = 1.5\n')
    assert read_boot_settings(path).clients == ClientBudget(7, 1_500_000)


def test_all_limits_of_requests_are_decoded():
    """Guards against limits of the configuration that are not applied."""
    limits = {
        'max_body_bytes': 1000,
        'max_header_bytes': 2000,
        'header_timeout_ms': 500,
        'idle_timeout_ms': 700,
    }
    content = json.dumps({**CONFIG, 'limits': limits}).encode()
    assert decode_operator_entry('config', content).limits == IntakeLimits(
        1000, 2000, timedelta(milliseconds=500), timedelta(milliseconds=700)
    )
    content = json.dumps(CONFIG).encode()
    assert decode_operator_entry('config', content).limits == IntakeLimits()
