"""What a node knows of the owners that it sends calls to."""

from samphirecleat.dispatch import Owner
from samphirecleat.dispatch._owner_states import OwnerStates


def test_owner_that_replies_within_a_clock_tick_is_probed_again() -> None:
    """Guards against an owner that counts as silent beside a slow call although it replies."""
    states, owner = OwnerStates(), Owner("n", "i", "z", "a:1", 6)
    assert states.start_probe(owner, 10.0, 10.2)
    states.record_reply(owner, 10.2)
    since_s = states.silent_since_s(owner, 10.0)
    assert not states.was_probed(owner, since_s)
    assert states.start_probe(owner, since_s, 10.4)
