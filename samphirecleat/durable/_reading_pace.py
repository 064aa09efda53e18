"""Limits how often each node reads the step log, so that a large fleet does not overload the store.

Results are listed ten to thirty times per second, and each listing completes the pending reads of
all nodes. All nodes share the rate limit of the store, and a node with half a core would spend
more time on reads than on its callers.
"""

from typing import Final

# Up to this many nodes may read immediately after every listing: thirty reads per second and node
# use a third of the rate of the smallest store.
MAX_UNPACED_NODES: Final = 20
# Each further node lengthens the pause of all nodes by this much. At 75 nodes each one reads about
# eight times per second, at 390 two or three times.
PAUSE_PER_NODE_S: Final = 0.002
# Maximum additional delay until results are visible at a node, a third of what trainers may notice.
MAX_PAUSE_S: Final = 0.35


def stores_items_separately(node_count: int) -> bool:
    """Return whether the items of steps are stored separately from the steps.

    In a small fleet the items are cheap to read, and one call less to the log matters more: while
    the store loses responses, each call may take a second.
    """
    return node_count > MAX_UNPACED_NODES


def reading_pause_s(node_count: int, *, runs_work: bool) -> float:
    """Return the pause of a node, in seconds, after a read that returned entries.

    A node that runs a service does not pause, because its planner waits for new entries.
    """
    if runs_work:
        return 0.0
    return min(MAX_PAUSE_S, PAUSE_PER_NODE_S * max(0, node_count - MAX_UNPACED_NODES))
