"""One run of a sample at a target, as it goes on."""

from dataclasses import dataclass
from typing import Final

from ..requests import Span

NO_TIME_S: Final = -1.0


@dataclass(eq=False)
class Run:
    """A run and what has come of it so far; times are on the node's own clock.

    ``oldest_version`` is the oldest that made any of its tokens, None before
    the first. ``scoring`` turns true once its text is whole.
    """

    position: int
    attempt: int
    is_copy: bool
    started_at_s: float
    expected_tokens: int
    target: str = ""
    tokens: int = 0
    oldest_version: int | None = None
    first_token_at_s: float = NO_TIME_S
    generated_at_s: float = NO_TIME_S

    @property
    def scoring(self) -> bool:
        """Whether its text is whole and it waits for its score."""
        return self.generated_at_s != NO_TIME_S

    def record_span(self, span: Span, now_s: float) -> None:
        """Record tokens as they come."""
        if self.first_token_at_s == NO_TIME_S:
            self.first_token_at_s = now_s
        self.tokens += span.tokens
        if self.oldest_version is None or span.version < self.oldest_version:
            self.oldest_version = span.version
