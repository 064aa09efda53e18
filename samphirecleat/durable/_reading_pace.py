"""How often a node reads on in the step log, so that a large fleet does not read too often.

Load pattern answered: results are listed some ten to thirty times a second, and each listing
wakes the reads of every node. The store's rate is shared by all, and a node on half a core
spends more on reads than on its callers.
"""

from typing import Final

# Nodes that may read on at once at every listing: thirty reads a second of each are a third of
# the smallest store's rate.
MAX_UNPACED_NODES: Final = 20
# Each further node adds this much to the pause of all. At 75 nodes that makes some eight reads a
# second of each, at 390 two or three.
PAUSE_PER_NODE_S: Final = 0.002
# Results are seen at a node this much later at most, a third of what trainers may notice.
MAX_PAUSE_S: Final = 0.35


def stores_items_separately(node_count: int) -> bool:
    """Return whether the items of steps are kept apart from the steps.

    In a small fleet they cost little to read, and a call less to the log decides more: while the
    store loses answers, each call may cost a second.
    """
    return node_count > MAX_UNPACED_NODES


def reading_pause_s(node_count: int, *, runs_work: bool) -> float:
    """Return how long a node waits after news of the step log before it reads on.

    A node that runs a service reads on at once: its plan waits for what is new.
    """
    if runs_work:
        return 0.0
    return min(MAX_PAUSE_S, PAUSE_PER_NODE_S * max(0, node_count - MAX_UNPACED_NODES))
