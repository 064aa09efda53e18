"""Reading and validating JSON with comments, with line numbers in error messages.

A thin layer over ``json-cfg`` that reports all errors of a document instead of only the
first, each with its line, its key and the allowed values. It is used for the settings of a
node, for the service text and for the fault files of the stand-ins.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any, Final, NamedTuple, TypeVar

import jsoncfg


class Diagnostic(NamedTuple):
    """One error in a document."""

    line: int
    key: str
    message: str

    def __str__(self) -> str:
        """Return ``line N: key: message``."""
        return f"line {self.line}: {self.key}: {self.message}"


class DocumentError(Exception):
    """A document is invalid; ``diagnostics`` lists all of its errors."""

    def __init__(self, source: str, diagnostics: Sequence[Diagnostic]) -> None:
        """Sort ``diagnostics`` by line; ``source`` names the document in the message."""
        self.source = source
        self.diagnostics = sorted(diagnostics)
        super().__init__("\n".join(f"{source}: {diagnostic}" for diagnostic in self.diagnostics))


class _Required:
    """The type of :data:`REQUIRED`."""


T = TypeVar("T")

DOCUMENT_KEY: Final = "(document)"
MAX_DOCUMENT_CHARACTERS: Final = 1_000_000
MAX_NESTING: Final = 30
MAX_SHOWN_CHARACTERS: Final = 40

REQUIRED: Final = _Required()
"""Marks a key without a default, so that a missing key is an error."""


class DocumentReader:
    """Reads one object of a document and collects its errors.

    Each ``take_*`` method returns a valid value even after an error, so that the rest of
    the document is checked too. :meth:`close` reports unknown keys. All readers of one
    document share the list ``diagnostics``.
    """

    def __init__(self, node: Any, path: str, diagnostics: list[Diagnostic]) -> None:
        """Read the object ``node``, whose dotted key path is ``path``."""
        self._node = node
        self._path = path
        self._diagnostics = diagnostics
        self._taken: set[str] = set()
        self._children: dict[str, Any] = {}
        if jsoncfg.node_is_object(node):
            # dict(node) would look up the attribute "keys", which json-cfg resolves as a
            # key of the document.
            self._children = {key: child for key, child in node}  # noqa: C416
        else:
            self.add_error("expected an object {...}")

    @property
    def line(self) -> int:
        """The line on which this object starts, from 1."""
        return int(jsoncfg.node_location(self._node).line)

    def add_error(self, message: str, key: str = "") -> None:
        """Report an error at ``key`` of this object or, if empty, at the object itself."""
        node = self._children.get(key, self._node)
        line = int(jsoncfg.node_location(node).line)
        self._diagnostics.append(Diagnostic(line, self._key_path(key) or DOCUMENT_KEY, message))

    def keys(self) -> Sequence[str]:
        """Return the keys of this object in document order."""
        return list(self._children)

    def take_number(
        self,
        key: str,
        default: float | _Required = REQUIRED,
        *,
        at_least: float = 0.0,
        at_most: float = 1e12,
    ) -> float:
        """Return the number at ``key``, which must lie within the inclusive bounds."""
        value = self._take(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._report_invalid(key, value, f"expected a number from {at_least:g} to {at_most:g}")
            return at_least
        if not at_least <= value <= at_most:
            self.add_error(f"{_format_number(value)} is outside {at_least:g} to {at_most:g}", key)
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
        """Return the integer at ``key``, which must lie within the inclusive bounds."""
        value = self._take(key, default)
        if isinstance(value, bool) or not isinstance(value, int):
            self._report_invalid(key, value, f"expected an integer from {at_least} to {at_most}")
            return at_least
        if not at_least <= value <= at_most:
            self.add_error(f"{_format_number(value)} is outside {at_least} to {at_most}", key)
            return at_least
        return value

    def take_boolean(self, key: str, default: bool | _Required = REQUIRED) -> bool:
        """Return the boolean at ``key``."""
        value = self._take(key, default)
        if not isinstance(value, bool):
            self._report_invalid(key, value, "expected true or false")
            return False
        return value

    def take_string(
        self,
        key: str,
        default: str | _Required = REQUIRED,
        *,
        one_of: Collection[str] = (),
    ) -> str:
        """Return the string at ``key``, which must be in ``one_of`` unless that is empty."""
        value = self._take(key, default)
        if not isinstance(value, str):
            self._report_invalid(key, value, "expected a string")
            return next(iter(one_of), "")
        if one_of and value not in one_of:
            self.add_error(f'"{value}" is not one of {", ".join(sorted(one_of))}', key)
            return next(iter(one_of))
        return value

    def take_strings(
        self, key: str, default: Sequence[str] | _Required = REQUIRED
    ) -> Sequence[str]:
        """Return the list of strings at ``key``."""
        value = self._take(key, default)
        if not isinstance(value, list | tuple) or not all(isinstance(v, str) for v in value):
            self._report_invalid(key, value, "expected a list of strings")
            return ()
        return tuple(value)

    def take_object(self, key: str) -> "DocumentReader | None":
        """Return a reader of the object at ``key``, or None if the key is missing."""
        self._taken.add(key)
        if key not in self._children:
            return None
        return DocumentReader(self._children[key], self._key_path(key), self._diagnostics)

    def take_objects(self, key: str) -> Mapping[str, "DocumentReader"]:
        """Return readers of the objects in the object at ``key``, whose keys are free names."""
        inner = self.take_object(key)
        if inner is None:
            return {}
        return {
            name: DocumentReader(node, f"{inner._path}.{name}", self._diagnostics)
            for name, node in inner._children.items()
        }

    def close(self) -> None:
        """Report every key that was not read, most often a misspelling."""
        for key in self._children:
            if key not in self._taken:
                allowed = ", ".join(sorted(self._taken))
                self.add_error(f"unknown key; known keys: {allowed}", key)

    def _take(self, key: str, default: Any) -> Any:
        self._taken.add(key)
        if key in self._children:
            node = self._children[key]
            return node() if not jsoncfg.node_is_object(node) else node
        return default

    def _report_invalid(self, key: str, value: Any, expected: str) -> None:
        if value is REQUIRED:
            self.add_error(f'"{key}" is missing; {expected}')
        else:
            self.add_error(expected, key)

    def _key_path(self, key: str) -> str:
        return f"{self._path}.{key}".strip(".")


def read_document(text: str, source: str, build: Callable[[DocumentReader], T]) -> T:
    """Parse ``text`` and build a value from it.

    :raises DocumentError: if the text is not valid JSON with comments, or if ``build``
        reported errors; contains all of them.
    """
    _check_size(text, source)
    try:
        root = jsoncfg.loads_config(text)
    except jsoncfg.JSONConfigParserException as error:
        raise DocumentError(source, [Diagnostic(error.line, DOCUMENT_KEY, str(error))]) from error
    diagnostics: list[Diagnostic] = []
    value = build(DocumentReader(root, "", diagnostics))
    if diagnostics:
        raise DocumentError(source, diagnostics)
    return value


def _check_size(text: str, source: str) -> None:
    """Reject a text that is too long or nested too deeply.

    The parser is recursive, and the depth at which it exceeds the recursion limit depends
    on its caller. Without this limit, one node could accept a deeply nested text on which
    another fails. Brackets in strings and comments count too, which does not matter for
    realistic documents.
    """
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        message = f"longer than {MAX_DOCUMENT_CHARACTERS} characters"
        raise DocumentError(source, [Diagnostic(1, DOCUMENT_KEY, message)])
    depth = 0
    for line_number, line in enumerate(text.split("\n"), start=1):
        for character in line:
            if character in "{[":
                depth += 1
            elif character in "}]":
                depth -= 1
            if depth > MAX_NESTING:
                message = f"nested more than {MAX_NESTING} levels deep"
                raise DocumentError(source, [Diagnostic(line_number, DOCUMENT_KEY, message)])


def _format_number(value: float) -> str:
    """Format a number for a message, truncating it to ``MAX_SHOWN_CHARACTERS``."""
    digits = str(value) if isinstance(value, int) else f"{value:g}"
    return digits if len(digits) <= MAX_SHOWN_CHARACTERS else f"{digits[:MAX_SHOWN_CHARACTERS]}..."
