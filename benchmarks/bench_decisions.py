"""Compares the placement decisions of chiveworks with those of naive baselines.

All variants run on the same seeds: `naive` is first fit, `naive_evict` also evicts
when latency is too high, and `ours` is chiveworks. The clock is simulated, and the
interference comes from a model that the policies do not know
(`_interference_simulator.py`). The figures therefore compare decisions only and say
nothing about the performance of a running system.
Run: python -m benchmarks.bench_decisions [--seeds N] [--scenario NAME]
"""

import argparse
import json
import statistics
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, fields
from pathlib import Path
from typing import Any

from benchmarks._decision_run import DecisionRun, RunResult
from benchmarks._workload import LAMPHUN, QUIMPERLE

SCENARIOS = (
    'steady',
    'backlog',
    'load_shift',
    'noisy_waves',
    'wrong_sizes',
    'failing_workers',
    'zone_leaves',
    'store_outage',
)
#: Values by variant (or kind of ratio) and measure.
_Comparison = dict[str, dict[str, Any]]
VARIANTS = ('naive', 'naive_evict', 'ours')
DEPLOYMENTS = {shape.name: shape for shape in (QUIMPERLE, LAMPHUN)}
RESULTS = Path(__file__).parent / 'results'
_PROCESSES = 4
_Case = tuple[str, str, str, int]


def run_case(case: _Case) -> RunResult:
    """Runs one combination of deployment, scenario, variant and seed."""
    shape, scenario, variant, seed = case
    return DecisionRun(DEPLOYMENTS[shape], scenario, variant, seed).run()


def summarize(runs: Sequence[RunResult]) -> dict[str, dict[str, float]]:
    """Returns the median and range of each measure over the seeds."""
    summary = {}
    for measure in fields(RunResult):
        figures = [getattr(run, measure.name) for run in runs]
        summary[measure.name] = {
            'median': statistics.median(figures),
            'low': min(figures),
            'high': max(figures),
        }
    return summary


def ratios(runs: dict[str, list[RunResult]], baseline: str) -> dict[str, float | None]:
    """Returns the median over the seeds of the ratio of `ours` to a baseline."""
    table: dict[str, float | None] = {}
    for measure in fields(RunResult):
        pairs = [
            (getattr(ours, measure.name), getattr(naive, measure.name))
            for ours, naive in zip(runs['ours'], runs[baseline], strict=True)
        ]
        defined = [ours / naive for ours, naive in pairs if naive]
        table[measure.name] = statistics.median(defined) if defined else None
    return table


def print_table(title: str, report: _Comparison) -> None:
    print(f'\n{title}')
    print(f'{"measure":20}{"naive":>27}{"naive_evict":>27}{"ours":>27}{"ratio":>8}')
    for measure in report['ratio']:
        cells = ''
        for variant in VARIANTS:
            figure = report[variant][measure]
            spread = f'{figure["low"]:.4g}-{figure["high"]:.4g}'
            cells += f'{figure["median"]:>9.4g} {spread:>17}'
        ratio = report['ratio'][measure]
        shown = '-' if ratio is None else f'{ratio:.2f}'
        print(f'{measure:20}{cells}{shown:>8}')


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--scenario', choices=SCENARIOS, action='append')
    options = parser.parse_args()
    started = time.perf_counter()
    groups = [
        (shape, scenario)
        for shape in DEPLOYMENTS
        for scenario in options.scenario or SCENARIOS
    ]
    cases = [
        (*group, variant, seed)
        for group in groups
        for variant in VARIANTS
        for seed in range(1, options.seeds + 1)
    ]
    with ProcessPoolExecutor(_PROCESSES) as pool:
        outcomes = dict(zip(cases, pool.map(run_case, cases), strict=True))
    report = {}
    for group in groups:
        runs = {
            variant: [outcomes[case] for case in cases if case[:3] == (*group, variant)]
            for variant in VARIANTS
        }
        entry: _Comparison = {variant: summarize(runs[variant]) for variant in VARIANTS}
        entry['ratio'] = ratios(runs, 'naive')
        entry['ratio_to_naive_evict'] = ratios(runs, 'naive_evict')
        report['/'.join(group)] = entry
        print_table(f'{group[0]}, {group[1]}, {options.seeds} seeds', entry)
    RESULTS.mkdir(exist_ok=True)
    document = {
        'report': report,
        'runs': [{'case': case, 'result': asdict(outcomes[case])} for case in cases],
    }
    (RESULTS / 'decisions.json').write_text(json.dumps(document, indent=1))
    print(f'\n{len(cases)} runs in {time.perf_counter() - started:.1f} s')


if __name__ == '__main__':
    main()
