"""Checks of configuration changes: promise 10."""

import asyncio
import random
from datetime import timedelta

from chiveworks.base import Failure, ManualClock, Verdict
from chiveworks.catalogue import CatalogueReplica
from chiveworks.catalogue.tests.test_editor_faults import run_editors
from chiveworks.membership.tests.fakes import FakeNetwork, FakeStore, Process
from tests.promises.check import check
from tests.promises.promise import Promise
from tests.promises.tally import Tally

_PROCESS_NAMES = ('e1', 'e2', 'e3', 'e4')
_PROPAGATION_LIMIT_S = 3
_STEP_S = 0.1


@check(Promise.CONFIGURATION, takes_seed_count=True)
def racing_editors(tally: Tally, rng: random.Random, seeds: int) -> None:
    """Two operators edit concurrently while store requests and answers are lost."""
    for _ in range(8 * seeds):
        written, outcomes = asyncio.run(run_editors(rng))
        tally.operations(len(outcomes))
        for author, outcome in outcomes.items():
            effects = [revision for writer, revision in written if writer == author]
            refused = outcome.err()
            unknown = (
                isinstance(refused, Failure)
                and refused.verdict is Verdict.OUTCOME_UNKNOWN
            )
            tally.fault('outcome unknown', int(unknown))
            tally.fault('refused', int(refused is not None and not unknown))
            if outcome.is_ok() and effects != [outcome.ok_value]:
                tally.violation(f'{author}: accepted, in effect at {effects}')
            if unknown and len(effects) > 1:
                tally.violation(f'{author}: in effect {len(effects)} times')
            if refused is not None and not unknown and effects:
                tally.violation(f'{author}: refused, but in effect at {effects}')


class RealReplica(CatalogueReplica):
    """The real replica with the accessors that the fake replica has."""

    @property
    def held(self):
        return self._held

    def live(self):
        return {one.key: one.value for one in self._held.values() if not one.deleted}


class _Zone:
    """Entry processes of one zone and a store, on a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.net = FakeNetwork()
        self.processes = {}
        self.seen: dict[str, dict[str, int]] = {name: {} for name in _PROCESS_NAMES}
        self.reached: set[str] = set()

    def start(self, name: str, tasks: asyncio.TaskGroup, is_watcher: bool) -> None:
        process = Process(
            name, _PROCESS_NAMES, self.store, self.net, self.clock, is_watcher
        )
        # Replaces the fake replica by the real one.
        real = RealReplica()
        process.replica = real
        process.sync._replica = real
        self.processes[name] = process
        process.task = tasks.create_task(process.follower.run())
        self.seen[name] = {}

    async def advance(self, seconds: float, tally: Tally) -> None:
        for _ in range(max(round(seconds / _STEP_S), 1)):
            await self.clock.advance(timedelta(seconds=_STEP_S))
            self.check_no_revert(tally)

    def check_no_revert(self, tally: Tally) -> None:
        for name, process in self.processes.items():
            seen = self.seen[name]
            for key, one in process.replica.held.items():
                if one.mod_revision < seen.get(key, 0):
                    tally.violation(f'{key} reverted at {name}')
                seen[key] = one.mod_revision

    def lagging(self) -> list[str]:
        wanted = self.store.live()
        return [
            name
            for name, process in self.processes.items()
            if process.replica.live() != wanted
        ]


@check(Promise.CONFIGURATION)
async def changes_reach_every_process(tally: Tally, rng: random.Random) -> None:
    """Changes arrive despite lost or killed watchers, cut-off peers and outages."""
    zone = _Zone()
    async with asyncio.TaskGroup() as tasks:
        for index, name in enumerate(_PROCESS_NAMES):
            zone.start(name, tasks, index == 0)
        await zone.advance(4, tally)
        for _ in range(25):
            await _one_fault(zone, tasks, tally, rng)
            for _ in range(rng.randint(1, 3)):
                zone.store.put(rng.choice('abc'), deleted=rng.random() < 0.3)
                tally.operations()
            await zone.advance(_PROPAGATION_LIMIT_S, tally)
            if zone.lagging():
                tally.violation(f'not in effect at {zone.lagging()} after 3 s')
        for process in zone.processes.values():
            process.task.cancel()


async def _one_fault(zone: _Zone, tasks, tally: Tally, rng: random.Random) -> None:
    """Injects a fault that leaves every process a path to the configuration."""
    fault = rng.choice(
        ('watcher lost', 'watcher killed', 'peer cut off', 'outage', 'compacted', '')
    )
    zone.net.cut = set()
    if not fault:
        return
    tally.fault(fault)
    if fault == 'watcher lost':
        for process in zone.processes.values():
            process.is_watcher = False
        rng.choice(list(zone.processes.values())).is_watcher = True
    elif fault == 'watcher killed':
        watcher = next(
            name for name, process in zone.processes.items() if process.is_watcher
        )
        zone.processes[watcher].task.cancel()
        zone.start(watcher, tasks, is_watcher=True)
        await zone.advance(1, tally)
    elif fault == 'peer cut off':
        zone.net.cut = {rng.choice(_PROCESS_NAMES[1:])}
        # The peer starts its own watch after 2.3 s without watcher progress.
        await zone.advance(4, tally)
    elif fault == 'outage':
        zone.store.is_down = True
        zone.store.put(rng.choice('abc'))
        await zone.advance(rng.choice((2, 20)), tally)
        zone.store.is_down = False
        # During an outage retries are up to 3 s apart.
        await zone.advance(6, tally)
    else:
        zone.store.compacted_to = zone.store.revision
