"""Estimates how long texts become, from those that have ended and those that are being generated.

Load pattern: a trainer allows its items far more tokens than they use and sends no hint, or hints
that are far too high. What an item may use says little about what it does use: a runner that
reserves engine memory for all of it leaves most places of its engines empty. The first texts of a
kind show how long they become, and runs that go on for longer than expected raise the estimate.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, NamedTuple

from ._open_item import OpenItem

# The first guess counts as much as this many ended texts.
GUESS_WEIGHT: Final = 2.0
# An ended text counts half as much after this many later ones, so that a change is noticed.
HALF_LIFE_TEXTS: Final = 64
# Lower bound for the expected length of a text: about one event of current engines.
MIN_EXPECTED_TOKENS: Final = 64
# Kinds of texts that are remembered for each service.
MAX_KINDS: Final = 256
_DECAY: Final = 0.5 ** (1.0 / HALF_LIFE_TEXTS)


class TextKind(NamedTuple):
    """Texts that are expected to be alike.

    ``limit_bits`` is the number of bits of the length that an item allows: long and short texts of
    one route mostly differ in that. Texts with a hint are measured by it, the others are not.
    """

    route: str
    model: str
    limit_bits: int
    hinted: bool


class GeneratedText(NamedTuple):
    """The tokens of an item's text so far."""

    open_item: OpenItem
    tokens: int


class _Ratios:
    """Lengths of a kind of texts, as ratios to the first guess of each."""

    def __init__(self) -> None:
        self._weight = GUESS_WEIGHT
        self._sum = GUESS_WEIGHT
        self._running: list[float] = []
        self.expected = 1.0

    def add_ended(self, ratio: float) -> None:
        self._weight = self._weight * _DECAY + 1.0
        self._sum = self._sum * _DECAY + ratio
        self._update()

    def set_running(self, ratios: list[float]) -> None:
        self._running = ratios
        self._update()

    def _update(self) -> None:
        """Average over ended texts and runs; a run becomes at least as long as it is.

        Without the runs, the short texts of a step, which end first, would stand for all of them.
        """
        ended = self._sum / self._weight
        running = sum(max(ratio, ended) for ratio in self._running)
        self.expected = (self._sum + running) / (self._weight + len(self._running))


class TextLengths:
    """Expected lengths of the texts of one service, in tokens."""

    def __init__(self) -> None:
        """Start without any text."""
        self._ratios: OrderedDict[TextKind, _Ratios] = OrderedDict()

    def expected_tokens(self, open_item: OpenItem, tokens_per_slot: int) -> int:
        """Return how long the text of an item is expected to become, at most what it allows.

        ``tokens_per_slot`` is the memory that an engine has for each of its slots. A text without
        a hint is first expected to fill that, as the slots of an engine are meant to be used. A
        hint is corrected only if texts turn out shorter: longer ones are few, and show by running.
        """
        guess = _guess(open_item, tokens_per_slot)
        kind = _kind_of(open_item)
        ratios = self._ratios.get(kind)
        ratio = ratios.expected if ratios is not None else 1.0
        if kind.hinted:
            ratio = min(1.0, ratio)
        limit = max(MIN_EXPECTED_TOKENS, open_item.item.max_tokens)
        return max(MIN_EXPECTED_TOKENS, min(limit, int(guess * ratio)))

    def record_end(self, text: GeneratedText, tokens_per_slot: int) -> None:
        """Record the length of a complete text."""
        ratio = text.tokens / _guess(text.open_item, tokens_per_slot)
        self._ratios_of(_kind_of(text.open_item)).add_ended(ratio)

    def record_running(self, texts: Iterable[GeneratedText], tokens_per_slot: int) -> None:
        """Record the lengths so far of all texts that are being generated."""
        by_kind: dict[TextKind, list[float]] = {}
        for text in texts:
            ratio = text.tokens / _guess(text.open_item, tokens_per_slot)
            by_kind.setdefault(_kind_of(text.open_item), []).append(ratio)
        for kind in by_kind:
            self._ratios_of(kind)
        for kind, ratios in self._ratios.items():
            ratios.set_running(by_kind.get(kind, []))

    def _ratios_of(self, kind: TextKind) -> _Ratios:
        ratios = self._ratios.setdefault(kind, _Ratios())
        self._ratios.move_to_end(kind)
        if len(self._ratios) > MAX_KINDS:
            self._ratios.popitem(last=False)
        return ratios


def _kind_of(open_item: OpenItem) -> TextKind:
    step, item, route = open_item
    is_hinted = item.estimated_tokens > 0
    return TextKind(route.name, step.spec.model, item.max_tokens.bit_length(), is_hinted)


def _guess(open_item: OpenItem, tokens_per_slot: int) -> int:
    """Return the expected length of a text before any other text of its kind is known.

    It is about the same for all texts of a kind without hints, whatever their prompts, so that the
    ratios to it can be compared.
    """
    item = open_item.item
    guess = item.estimated_tokens if item.estimated_tokens > 0 else tokens_per_slot
    return max(MIN_EXPECTED_TOKENS, min(item.max_tokens, guess))
