"""JSON with comments, read into nodes that know their line.

A thin layer over ``json-cfg``: it collects every fault of a document instead of
stopping at the first, each with its line, its key and what is allowed. Used for
the node's settings and for the service text.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any, Final, NamedTuple, TypeVar

import jsoncfg


class Diagnostic(NamedTuple):
    """One thing that is wrong in a document, and what would be right."""

    line: int
    key: str
    message: str

    def __str__(self) -> str:
        """Return ``line N: key: message``."""
        return f"line {self.line}: {self.key}: {self.message}"


class DocumentError(Exception):
    """A document that cannot be taken; carries all of its faults."""

    def __init__(self, source: str, diagnostics: Sequence[Diagnostic]) -> None:
        """Name the document and keep its faults in the order of their lines."""
        self.source = source
        self.diagnostics = sorted(diagnostics)
        super().__init__("\n".join(f"{source}: {diagnostic}" for diagnostic in self.diagnostics))


class _Required:
    """The type of :data:`REQUIRED`."""


T = TypeVar("T")

DOCUMENT: Final = "(document)"
MAX_CHARACTERS: Final = 1_000_000
MAX_NESTING: Final = 30
SHOWN_CHARACTERS: Final = 40

REQUIRED: Final = _Required()
"""Stands for "no default": a missing key is then a fault."""


class DocumentReader:
    """Reads one object of a document and notes what is wrong in it.

    Each ``take_*`` method returns a usable value even after a fault, so that the
    rest of the document is still checked. :meth:`close` notes unknown keys. The
    list ``faults`` is shared by the readers of one document.
    """

    def __init__(self, node: Any, path: str, diagnostics: list[Diagnostic]) -> None:
        """Read the object ``node``, which stands at ``path``."""
        self._node = node
        self._path = path
        self._diagnostics = diagnostics
        self._taken: set[str] = set()
        self._children: dict[str, Any] = {}
        if jsoncfg.node_is_object(node):
            # Not dict(node): it would look for an attribute "keys", which json-cfg
            # takes for a key of the document.
            self._children = {key: child for key, child in node}  # noqa: C416
        else:
            self.add_error("an object {...} is expected here")

    @property
    def line(self) -> int:
        """The line on which this object starts."""
        return int(jsoncfg.node_location(self._node).line)

    def add_error(self, message: str, key: str = "") -> None:
        """Note that ``key`` of this object (or the object itself) is wrong."""
        node = self._children.get(key, self._node)
        line = int(jsoncfg.node_location(node).line)
        self._diagnostics.append(Diagnostic(line, self._key_path(key) or DOCUMENT, message))

    def keys(self) -> Sequence[str]:
        """Return the keys of this object in the order in which they stand."""
        return list(self._children)

    def take_number(
        self,
        key: str,
        default: float | _Required = REQUIRED,
        *,
        at_least: float = 0.0,
        at_most: float = 1e12,
    ) -> float:
        """Take a number between two bounds, both allowed."""
        value = self._take(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._wrong(key, value, f"a number from {at_least:g} to {at_most:g} is expected")
            return at_least
        if not at_least <= value <= at_most:
            self.add_error(f"{_short(value)} is outside {at_least:g} to {at_most:g}", key)
            return at_least
        return float(value)

    def take_integer(
        self,
        key: str,
        default: int | _Required = REQUIRED,
        *,
        at_least: int = 0,
        at_most: int = 10**12,
    ) -> int:
        """Take a whole number between two bounds, both allowed."""
        value = self._take(key, default)
        if isinstance(value, bool) or not isinstance(value, int):
            self._wrong(key, value, f"a whole number from {at_least} to {at_most} is expected")
            return at_least
        if not at_least <= value <= at_most:
            self.add_error(f"{_short(value)} is outside {at_least} to {at_most}", key)
            return at_least
        return value

    def take_boolean(self, key: str, default: bool | _Required = REQUIRED) -> bool:
        """Take true or false."""
        value = self._take(key, default)
        if not isinstance(value, bool):
            self._wrong(key, value, "true or false is expected")
            return False
        return value

    def take_string(
        self,
        key: str,
        default: str | _Required = REQUIRED,
        *,
        one_of: Collection[str] = (),
    ) -> str:
        """Take a text, which may have to be one of a few."""
        value = self._take(key, default)
        if not isinstance(value, str):
            self._wrong(key, value, "a text is expected")
            return next(iter(one_of), "")
        if one_of and value not in one_of:
            self.add_error(f'"{value}" is not one of {", ".join(sorted(one_of))}', key)
            return next(iter(one_of))
        return value

    def take_strings(
        self, key: str, default: Sequence[str] | _Required = REQUIRED
    ) -> Sequence[str]:
        """Take a list of texts."""
        value = self._take(key, default)
        if not isinstance(value, list | tuple) or not all(isinstance(v, str) for v in value):
            self._wrong(key, value, "a list of texts is expected")
            return ()
        return tuple(value)

    def take_object(self, key: str) -> "DocumentReader | None":
        """Take an inner object; None when it is missing, which is no fault."""
        self._taken.add(key)
        if key not in self._children:
            return None
        return DocumentReader(self._children[key], self._key_path(key), self._diagnostics)

    def take_objects(self, key: str) -> Mapping[str, "DocumentReader"]:
        """Take an object of objects, keyed by names that the writer chose."""
        inner = self.take_object(key)
        if inner is None:
            return {}
        return {
            name: DocumentReader(node, f"{inner._path}.{name}", self._diagnostics)
            for name, node in inner._children.items()
        }

    def close(self) -> None:
        """Note every key that nothing has taken: most often a misspelling."""
        for key in self._children:
            if key not in self._taken:
                allowed = ", ".join(sorted(self._taken))
                self.add_error(f"unknown key; known here: {allowed}", key)

    def _take(self, key: str, default: Any) -> Any:
        self._taken.add(key)
        if key in self._children:
            node = self._children[key]
            return node() if not jsoncfg.node_is_object(node) else node
        return default

    def _wrong(self, key: str, value: Any, expected: str) -> None:
        if value is REQUIRED:
            self.add_error(f'"{key}" is missing; {expected}')
        else:
            self.add_error(expected, key)

    def _key_path(self, key: str) -> str:
        return f"{self._path}.{key}".strip(".")


def read_document(text: str, source: str, build: Callable[[DocumentReader], T]) -> T:
    """Parse ``text`` and build a value from it.

    :raises DocumentError: when the text is no JSON with comments, or when
        ``build`` noted any fault; all of them are in the error.
    """
    _check_size(text, source)
    try:
        root = jsoncfg.loads_config(text)
    except jsoncfg.JSONConfigParserException as error:
        raise DocumentError(source, [Diagnostic(error.line, DOCUMENT, str(error))]) from error
    diagnostics: list[Diagnostic] = []
    value = build(DocumentReader(root, "", diagnostics))
    if diagnostics:
        raise DocumentError(source, diagnostics)
    return value


def _check_size(text: str, source: str) -> None:
    """Refuse a text that the parser could not take at every node alike.

    The parser calls itself for each level. Where its stack ends depends on its
    caller, so that one node could accept a deep text and another fail on it.
    Brackets in texts and comments count as well, which no sane document notices.
    """
    if len(text) > MAX_CHARACTERS:
        message = f"more than {MAX_CHARACTERS} characters"
        raise DocumentError(source, [Diagnostic(1, DOCUMENT, message)])
    depth = 0
    for number, line in enumerate(text.split("\n"), start=1):
        for character in line:
            if character in "{[":
                depth += 1
            elif character in "}]":
                depth -= 1
            if depth > MAX_NESTING:
                message = f"nested more than {MAX_NESTING} deep"
                raise DocumentError(source, [Diagnostic(number, DOCUMENT, message)])


def _short(value: float) -> str:
    """Return a number as it may stand in a message, however long it is."""
    digits = str(value) if isinstance(value, int) else f"{value:g}"
    return digits if len(digits) <= SHOWN_CHARACTERS else f"{digits[:SHOWN_CHARACTERS]}..."
