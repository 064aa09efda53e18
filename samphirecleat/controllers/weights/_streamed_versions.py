"""Compares the version that a target reports with the version that its tokens name.

An engine may report that it loaded a version and continue with the old one. Its samples
would name the old version correctly, but runs would still be started there in vain and the
load would not be ordered again. The version in the token stream therefore takes precedence.
"""

from typing import Final, NamedTuple

from ...blackboard import Blackboard, DisprovedVersion, TargetView

IN_FLIGHT_TOKENS_S: Final = 1.0
DISPROVED_TTL_S: Final = 30.0


class _ReportedVersion(NamedTuple):
    instance: str
    version: int
    first_seen_at_s: float


class StreamedVersionTracker:
    """Writes the ``disproved_versions`` section of the blackboard."""

    def __init__(self, board: Blackboard) -> None:
        """Compare tokens with the target section of ``board``."""
        self._board = board
        self._reported: dict[str, _ReportedVersion] = {}

    def record_token(self, address: str, version: int, now_s: float) -> None:
        """Record that a target sent a token of ``version``."""
        target = self._board.targets.get(address)
        if target is None:
            return
        reported = self._reported.get(address)
        if reported is None or (reported.instance, reported.version) != (
            target.instance,
            target.version,
        ):
            reported = _ReportedVersion(target.instance, target.version, now_s)
            self._reported[address] = reported
        if version >= target.version:
            self._board.disproved_versions.pop(address, None)
        elif now_s - reported.first_seen_at_s > IN_FLIGHT_TOKENS_S:
            # Tokens that were in flight while the target swapped weights do not count.
            self._board.disproved_versions[address] = DisprovedVersion(
                target.instance, target.version, version, now_s
            )

    def drop_removed_targets(self) -> None:
        """Drop the state of targets that left the blackboard, so that memory stays bounded."""
        for known in (self._reported, self._board.disproved_versions):
            for address in [a for a in known if a not in self._board.targets]:
                del known[address]


def effective_version(board: Blackboard, target: TargetView, now_s: float) -> int:
    """Return the version that a target's next tokens are expected to name."""
    disproved = board.disproved_versions.get(target.address)
    if disproved is None or now_s - disproved.seen_at_s > DISPROVED_TTL_S:
        return target.version
    if (disproved.instance, disproved.reported) != (target.instance, target.version):
        return target.version
    return disproved.streamed
