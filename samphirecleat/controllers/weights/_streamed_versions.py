"""Compares the versions that targets report with those that their tokens name.

An engine may say that it loaded a version and go on with the old one. Its
samples would still name the old version truly, but runs would go on being
started there for nothing, and no one would order the load again. What the token
stream says decides.
"""

from typing import Final, NamedTuple

from ...blackboard import Blackboard, DisprovedVersion, TargetView

SETTLED_AFTER_S: Final = 1.0
BELIEVED_FOR_S: Final = 30.0


class _Claim(NamedTuple):
    instance: str
    version: int
    first_seen_at_s: float


class StreamedVersions:
    """Writes the ``disproved_versions`` section of the blackboard."""

    def __init__(self, board: Blackboard) -> None:
        """Compare with the target section of ``board``."""
        self._board = board
        self._claims: dict[str, _Claim] = {}

    def note(self, address: str, version: int, now_s: float) -> None:
        """Record that a token of ``version`` came from a target."""
        target = self._board.targets.get(address)
        if target is None:
            return
        claim = self._claims.get(address)
        if claim is None or (claim.instance, claim.version) != (target.instance, target.version):
            claim = _Claim(target.instance, target.version, now_s)
            self._claims[address] = claim
        if version >= target.version:
            self._board.disproved_versions.pop(address, None)
        elif now_s - claim.first_seen_at_s > SETTLED_AFTER_S:
            # Tokens that were under way while the target swapped are not taken for this.
            self._board.disproved_versions[address] = DisprovedVersion(
                target.instance, target.version, version, now_s
            )

    def forget_gone(self) -> None:
        """Forget targets that are known no more, so that memory is bounded."""
        for known in (self._claims, self._board.disproved_versions):
            for address in [a for a in known if a not in self._board.targets]:
                del known[address]


def true_version(board: Blackboard, target: TargetView, now_s: float) -> int:
    """Return the version that a target's next tokens are expected to name."""
    disproved = board.disproved_versions.get(target.address)
    if disproved is None or now_s - disproved.seen_at_s > BELIEVED_FOR_S:
        return target.version
    if (disproved.instance, disproved.reported) != (target.instance, target.version):
        return target.version
    return disproved.streamed
