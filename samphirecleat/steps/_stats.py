"""What a node tells of each trainer: idle time, staleness, and work done twice."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from ._types import Sample


@dataclass
class TrainerStats:
    """Counts since the node saw the trainer first; all of them can be summed.

    ``idle_s`` is the time that its pulls waited here for a first sample.
    ``staleness`` counts samples delivered by how many versions old they were.
    """

    seen_at_s: float
    idle_s: float = 0.0
    delivered: int = 0
    staleness: Counter[int] = field(default_factory=Counter)

    def record_delivery(self, samples: Sequence[Sample], version: int) -> None:
        """Record the samples of a reply to a pull that names ``version``."""
        self.delivered += len(samples)
        self.staleness.update(max(0, version - s.oldest_version) for s in samples)

    def to_json(self, now_s: float) -> Mapping[str, Any]:
        """Return the counts as the report shows them."""
        watched_s = max(1e-9, now_s - self.seen_at_s)
        return {
            "idle_s": round(self.idle_s, 3),
            "idle_ratio": round(min(1.0, self.idle_s / watched_s), 4),
            "samples_sent": self.delivered,
            "staleness_versions": {str(k): n for k, n in sorted(self.staleness.items())},
        }
