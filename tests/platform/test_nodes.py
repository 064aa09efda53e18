"""The node processes of the tests."""

from itertools import chain, repeat

import pytest

from . import nodes


def test_listeners_of_a_node_get_different_ports(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a node that can't bind its second listener and never becomes ready."""
    free = chain(repeat(40001, 3), [40002, 40002, 40003, 40004], repeat(40005))
    monkeypatch.setattr(nodes, "free_port", lambda: next(free))
    assert nodes.distinct_ports(5) == [40001, 40002, 40003, 40004, 40005]
