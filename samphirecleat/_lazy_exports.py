"""Lazy loading of the public names of a package.

Without it, a daemon that uses two names of a package would import the dependencies of all other
names. On small hosts, these imports take a third of a node's memory and most of the CPU time of
its start, which delays the recovery of the fleet after a power failure.
"""

import importlib
from collections.abc import Callable, Mapping


def lazy_exports(package: str, modules: Mapping[str, str]) -> Callable[[str], object]:
    """Return a module-level ``__getattr__`` for ``package``.

    ``modules`` maps each lazily loaded name to the submodule that defines it. The function
    raises :class:`AttributeError` for any other name.
    """

    def load(name: str) -> object:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{modules[name]}"), name)

    return load
