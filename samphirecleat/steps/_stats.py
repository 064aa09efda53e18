"""Statistics per trainer: idle time, delivered samples and their staleness."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from ._types import Sample


@dataclass
class TrainerStats:
    """Counts since the node first saw the trainer.

    ``idle_s`` is the time that the trainer's pulls waited here for a first sample.
    ``staleness`` counts delivered samples by their age in weight versions. The
    counts of several nodes can be added up.
    """

    first_seen_at_s: float
    idle_s: float = 0.0
    delivered: int = 0
    staleness: Counter[int] = field(default_factory=Counter)

    def record_delivery(self, samples: Sequence[Sample], version: int) -> None:
        """Record the samples of a reply to a pull that named ``version``."""
        self.delivered += len(samples)
        self.staleness.update(max(0, version - s.oldest_version) for s in samples)

    def to_json(self, now_s: float) -> Mapping[str, Any]:
        """Return the counts as they appear in the report."""
        observed_s = max(1e-9, now_s - self.first_seen_at_s)
        return {
            "idle_s": round(self.idle_s, 3),
            "idle_ratio": round(min(1.0, self.idle_s / observed_s), 4),
            "samples_sent": self.delivered,
            "staleness_versions": {str(k): n for k, n in sorted(self.staleness.items())},
        }
