"""State of one run of a sample on a target."""

from dataclasses import dataclass
from typing import Final

from ..requests import Span

UNSET_TIME_S: Final = -1.0


@dataclass(eq=False)
class Run:
    """A run and its progress; times are on the node's monotonic clock.

    ``oldest_version`` is the oldest weight version that generated any of its
    tokens, None before the first token. ``generated_at_s`` is when its text was
    complete.
    """

    position: int
    attempt: int
    is_copy: bool
    started_at_s: float
    expected_tokens: int
    target: str = ""
    tokens: int = 0
    oldest_version: int | None = None
    first_token_at_s: float = UNSET_TIME_S
    generated_at_s: float = UNSET_TIME_S

    @property
    def scoring(self) -> bool:
        """Whether the text is complete and only the score is missing."""
        return self.generated_at_s != UNSET_TIME_S

    def record_span(self, span: Span, now_s: float) -> None:
        """Record tokens that were received at ``now_s``."""
        if self.first_token_at_s == UNSET_TIME_S:
            self.first_token_at_s = now_s
        self.tokens += span.tokens
        if self.oldest_version is None or span.version < self.oldest_version:
            self.oldest_version = span.version
