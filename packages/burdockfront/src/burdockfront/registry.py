"""Registries of interchangeable implementations.

A variant registers itself with a decorator, so adding one changes one file:

    shedding = Registry("shedding")

    @shedding.register("by-class")
    class ByClass: ...
"""

from collections.abc import Callable
from typing import Any
from typing import TypeVar

from burdockfront import errors

T = TypeVar("T")


class Registry:
    """Variants of one family, by name."""

    def __init__(self, family: str):
        self.family = family
        self._variants: dict[str, Any] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers a class or function by name.

        Raises:
            InvalidInputError: The name is already registered.
        """
        if name in self._variants:
            raise errors.InvalidInputError(
                f"{self.family} {name!r} is registered twice; choose another "
                f"name."
            )

        def decorate(variant: T) -> T:
            self._variants[name] = variant
            return variant

        return decorate

    def get(self, name: str) -> Any:
        """Returns the variant of a name.

        Raises:
            UnknownVariantError: No variant has this name.
        """
        try:
            return self._variants[name]
        except KeyError:
            raise errors.UnknownVariantError(
                self.family, name, list(self._variants)
            ) from None

    def names(self) -> list[str]:
        """Returns all names, sorted."""
        return sorted(self._variants)
