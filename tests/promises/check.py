"""Registry of the checks, and the code that runs one."""

import asyncio
import logging
import random
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tests.promises.promise import Promise
from tests.promises.promise_violation import PromiseViolationError
from tests.promises.tally import Tally

#: A check that takes longer, in real time, is reported as a violation.
_TIME_LIMIT_S = 60

Body = Callable[..., Awaitable[None] | None]


@dataclass(frozen=True)
class Check:
    """A check and the promises that it covers.

    Attributes:
        name: Name in reports.
        promises: Promises to whose counts it adds.
        body: Function that does the check: a coroutine function, or, with
            `takes_seed_count`, a plain function that runs its own event loop.
        slow: Whether it runs in real time, and therefore with fewer seeds.
        takes_seed_count: Whether it is called once, with the number of seeds as its
            third argument, instead of once for each seed.
    """

    name: str
    promises: tuple[Promise, ...]
    body: Body
    slow: bool = False
    takes_seed_count: bool = False

    def run(self, tally: Tally, seed: int, seeds: int = 1) -> None:
        """Runs the check; any error that it raises is recorded as a violation."""
        tally.begin_check(self.promises, f'{self.name}, seed {seed}')
        try:
            self._run(tally, random.Random(seed), seeds)
        except PromiseViolationError as error:
            tally.violation(str(error), error.promise)
        except KeyboardInterrupt:
            raise
        except BaseException as error:
            tally.violation(_describe(error))

    def _run(self, tally: Tally, rng: random.Random, seeds: int) -> None:
        if self.takes_seed_count:
            self.body(tally, rng, seeds)
            return

        async def bounded() -> None:
            # Killed processes leave unfinished tasks behind by design.
            asyncio.get_running_loop().set_exception_handler(_ignore)
            async with asyncio.timeout(_TIME_LIMIT_S):
                await self.body(tally, rng)

        asyncio.run(bounded())


CHECKS: list[Check] = []


def check(
    *promises: Promise, slow: bool = False, takes_seed_count: bool = False
) -> Callable[[Body], Body]:
    """Registers a check under the name of its function."""

    def register(body: Body) -> Body:
        CHECKS.append(Check(body.__name__, promises, body, slow, takes_seed_count))
        return body

    return register


def disable_logging() -> None:
    """Disables logging, so that expected warnings don't clutter the report."""
    logging.disable(logging.CRITICAL)


def _ignore(_loop: object, _context: object) -> None:
    """Ignores errors of tasks that are never awaited."""


def _describe(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    test_frames = [one for one in frames if '/tests/' in one.filename]
    location = (
        f'{test_frames[-1].name}:{test_frames[-1].lineno}' if test_frames else '?'
    )
    text = str(error).splitlines()[0][:300] if str(error) else ''
    return f'{type(error).__name__} at {location}: {text}'
