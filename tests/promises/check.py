"""Registry of checks and how they are run."""

import asyncio
import logging
import random
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tests.promises.broken_promise import BrokenPromiseError
from tests.promises.promise import Promise
from tests.promises.tally import Tally

#: Real seconds after which a check counts as hung.
_LIMIT_S = 60

Body = Callable[..., Awaitable[None] | None]


@dataclass(frozen=True)
class Check:
    """A check with the promises that it proves.

    Attributes:
        name: Name in reports.
        promises: Promises whose figures it adds to.
        body: The check; a coroutine function, or a plain function that runs its
            own event loop.
        slow: It takes real time, so that it is run with fewer seeds.
        every_seed: It is run once, with the number of seeds as a third argument.
    """

    name: str
    promises: tuple[Promise, ...]
    body: Body
    slow: bool = False
    every_seed: bool = False

    def run(self, tally: Tally, seed: int, seeds: int = 1) -> None:
        """Runs the check; whatever it raises is a violation."""
        tally.focus(self.promises, f'{self.name}, seed {seed}')
        try:
            self._run(tally, random.Random(seed), seeds)
        except BrokenPromiseError as error:
            tally.violation(str(error), error.promise)
        except KeyboardInterrupt:
            raise
        except BaseException as error:
            tally.violation(_describe(error))

    def _run(self, tally: Tally, draw: random.Random, seeds: int) -> None:
        if self.every_seed:
            self.body(tally, draw, seeds)
            return

        async def bounded() -> None:
            # Processes that a check kills leave unfinished tasks on purpose.
            asyncio.get_running_loop().set_exception_handler(_ignore)
            async with asyncio.timeout(_LIMIT_S):
                await self.body(tally, draw)

        asyncio.run(bounded())


CHECKS: list[Check] = []


def check(
    *promises: Promise, slow: bool = False, every_seed: bool = False
) -> Callable[[Body], Body]:
    """Registers a check under the name of its function."""

    def register(body: Body) -> Body:
        CHECKS.append(Check(body.__name__, promises, body, slow, every_seed))
        return body

    return register


def quiet_logs() -> None:
    """Keeps expected warnings of the product out of the report."""
    logging.disable(logging.CRITICAL)


def _ignore(_loop: object, _context: object) -> None:
    """Takes errors of tasks that nobody awaits."""


def _describe(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    own = [one for one in frames if '/tests/' in one.filename]
    place = f'{own[-1].name}:{own[-1].lineno}' if own else '?'
    text = str(error).splitlines()[0][:300] if str(error) else ''
    return f'{type(error).__name__} at {place}: {text}'
