"""Named variants of a behaviour, registered by a decorator."""

from collections.abc import Callable
from typing import Generic, TypeVar

_Variant = TypeVar('_Variant')


class Registry(Generic[_Variant]):
    """Maps the names used in settings to factories of a behaviour."""

    def __init__(self, topic: str) -> None:
        self._topic = topic
        self._factories: dict[str, Callable[..., _Variant]] = {}

    def register(
        self, name: str
    ) -> Callable[[Callable[..., _Variant]], Callable[..., _Variant]]:
        """Returns a decorator that registers a factory under `name`."""

        def decorator(factory: Callable[..., _Variant]) -> Callable[..., _Variant]:
            self._factories[name] = factory
            return factory

        return decorator

    def names(self) -> tuple[str, ...]:
        """Returns the registered names in alphabetical order."""
        return tuple(sorted(self._factories))

    def create(self, name: str, **options: object) -> _Variant:
        """Creates the variant `name`.

        Raises:
            ValueError: No variant has that name.
        """
        if name not in self._factories:
            known = ', '.join(self.names())
            raise ValueError(f'unknown {self._topic} {name!r}; known: {known}')
        return self._factories[name](**options)
