"""Runs a process that hosts simulated workers."""

import argparse
from collections.abc import Mapping
from types import MappingProxyType

from chiveworks.base import EntryName, RackName, Resources, SystemClock, ZoneName
from chiveworks.instances import Instance, InstanceRole, InstanceState
from standins._program import run_program
from standins.workers._app import create_app
from standins.workers._registration import Registration
from standins.workers._spec import WorkerSpec

#: Numeric options with their defaults.
_NUMERIC_OPTIONS: Mapping[str, float] = MappingProxyType(
    {
        'cpu-millicores': 16_000,
        'memory-bytes': 60_000_000_000,
        'accelerators': 0,
        'slots': 8,
        'connections': 64,
        'service-ms': 5.0,
        'duration-ms': 1000.0,
        'usage-lag-ms': 3000,
    }
)


def main() -> None:
    """Parses the arguments and serves until SIGTERM."""
    options = _parse()
    clock = SystemClock()
    specs = [_spec(options, number) for number in range(options.count)]
    app = create_app(clock, specs)
    if options.instances_url:
        instances = (_instance(options, spec) for spec in specs)
        registration = Registration(clock, options.instances_url, instances)
        app.cleanup_ctx.append(registration.run)
    run_program(app, options.host, options.port)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='standins.workers')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--zone', required=True)
    parser.add_argument('--rack', required=True)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--instances-url', default='')
    parser.add_argument('--services', default='', help='comma-separated names')
    parser.add_argument('--id-prefix', default='', help='default: RACK-w')
    for name, default in _NUMERIC_OPTIONS.items():
        parser.add_argument(f'--{name}', type=type(default), default=default)
    return parser.parse_args()


def _spec(options: argparse.Namespace, number: int) -> WorkerSpec:
    prefix = options.id_prefix or f'{options.rack}-w'
    return WorkerSpec(
        worker_id=f'{prefix}{number}',
        capacity=Resources(
            options.cpu_millicores, options.memory_bytes, options.accelerators
        ),
        slots=options.slots,
        service_ms=options.service_ms,
        default_duration_ms=options.duration_ms,
        usage_lag_ms=options.usage_lag_ms,
    )


def _instance(options: argparse.Namespace, spec: WorkerSpec) -> Instance:
    url = f'http://{options.host}:{options.port}/w/{spec.worker_id}'
    services = [EntryName(name) for name in options.services.split(',') if name]
    return Instance(
        instance_id=spec.worker_id,
        role=InstanceRole.WORKER,
        zone=ZoneName(options.zone),
        rack=RackName(options.rack),
        state=InstanceState.LIVE,
        control_url=url,
        serve_url=url,
        services=tuple(services),
        capacity=spec.capacity,
        slots=options.slots,
        connections=options.connections,
    )


if __name__ == '__main__':
    main()
