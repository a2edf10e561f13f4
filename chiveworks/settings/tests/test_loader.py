"""Guards against wrongly loaded settings and errors without a position."""

import pytest
from result import Err

from chiveworks.settings import Settings, load_settings

MINIMAL = """\
entry_id: entry-laita-1
zone: laita
listen: {port: 8080}
peer: {port: 8090}
store_url: http://127.0.0.1:7000
instances_url: http://127.0.0.1:7001
"""


def problems_of(tmp_path, text):
    path = tmp_path / 's.yaml'
    path.write_text(text)
    outcome = load_settings(str(path))
    assert isinstance(outcome, Err)
    return [str(problem).removeprefix(f'{tmp_path}/') for problem in outcome.err_value]


def test_minimal_file_is_complete(tmp_path):
    """Guards against rejecting a file that holds only the required keys."""
    path = tmp_path / 's.yaml'
    path.write_text(MINIMAL)
    loaded = load_settings(str(path)).unwrap()
    assert loaded.limits.body_bytes == 8 * 1024 * 1024
    assert loaded.zone_latencies_ms == {'laita': 0}
    assert isinstance(loaded, Settings)


@pytest.mark.parametrize(
    ('added', 'wanted'),
    [
        ('worker_lease: 15\n', ['s.yaml:7: worker_lease: unknown key; did you mean']),
        (
            'limits:\n  body_bytes: 8MB\n',
            ['s.yaml:8: limits.body_bytes: expected a valid integer (bytes), got'],
        ),
        (
            'worker_renew_ms: 20000\n',
            ['s.yaml:7: worker_renew_ms: expected less than worker_lease_ms (20000'],
        ),
        (
            '# comment\nzones:\n- name: laita\n- {name: isole, latency_ms: -1}\n',
            ['s.yaml:10: zones.1.latency_ms: expected greater than or equal to 0'],
        ),
        ('zones:\n- name: isole\n', ['s.yaml:7: zones: this process']),
        (
            'zones:\n- name: laita\n- name: laita\n',
            ['s.yaml:9: zones.1.name: laita is listed twice'],
        ),
        (
            'log_level: loud\nretry: {attempts: 0, budget: 1}\n',
            [
                "s.yaml:7: log_level: expected 'debug'",
                's.yaml:8: retry.attempts: expected greater than or equal to 1',
                's.yaml:8: retry.budget: unknown key; did you mean budget_share',
            ],
        ),
        ('limits: 2026-01-01\n', ['s.yaml:7: limits: expected an object']),
        ('zone: isole\n', ["s.yaml:7:1: is not valid YAML: key 'zone' appears twice"]),
        ('listen2: {port: [}\n', ['s.yaml:7:18: is not valid YAML']),
        ('a: &x 1\nb: *x\n', ['s.yaml:8:4: is not valid YAML: aliases']),
        (
            'placement:\n  weights: {tail_latency: 0, batch_throughput: 0,'
            ' zone_work: 0}\n',
            ['s.yaml:8: placement.weights: expected at least one weight above 0'],
        ),
    ],
)
def test_mistake_is_reported_with_its_line_and_field(tmp_path, added, wanted):
    found = problems_of(tmp_path, MINIMAL + added)
    assert len(found) == len(wanted)
    for problem, start in zip(found, wanted, strict=True):
        assert problem.startswith(start), problem


def test_missing_keys_are_named(tmp_path):
    found = problems_of(tmp_path, 'entry_id: a\nlisten:\n  host: x\n')
    assert 's.yaml:2: listen.port: required key is missing' in found
    assert 's.yaml:1: zone: required key is missing' in found


@pytest.mark.parametrize(
    'text', ['', '- a\n', '"\\0', 'a: \x07', '? [1]\n: 2\n', 'a: ' + '[' * 5000]
)
def test_unusual_files_give_a_message(tmp_path, text):
    """Guards against an exception for a file without a mapping or with bad syntax."""
    assert problems_of(tmp_path, text)


def test_missing_file_gives_a_message(tmp_path):
    outcome = load_settings(str(tmp_path / 'none.yaml'))
    assert 'cannot be read: No such file' in str(outcome.unwrap_err()[0])
