"""Registry of interchangeable implementations, filled by a decorator."""

from collections.abc import Callable
from typing import Generic, TypeVar

_Variant = TypeVar('_Variant')


class Registry(Generic[_Variant]):
    """Maps the names used in settings to factories.

    Args:
        kind: What is registered, such as `routing policy`, for error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
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
        """Calls the factory registered under `name`.

        Args:
            name: Registered name.
            options: Keyword arguments of the factory.

        Raises:
            ValueError: No factory has that name.
        """
        if name not in self._factories:
            known = ', '.join(self.names())
            raise ValueError(f'unknown {self._kind} {name!r}; known: {known}')
        return self._factories[name](**options)
