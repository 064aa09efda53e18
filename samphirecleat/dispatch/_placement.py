"""Which target of a service takes the next call.

Load addressed: targets of one service differ in speed and distance and become slow for seconds. A
call at the wrong one is late although another target would have answered it in time.
"""

from collections.abc import Callable, Sequence

from ..serving import Target
from ._room import RoomTable, TargetRoom
from ._waiting_calls import LineEntry


class Placement:
    """Ranks the targets of a service for a call, by their rooms."""

    def __init__(
        self,
        rooms: RoomTable,
        reach_cost: Callable[[Target, float], float],
        runs_suspect: Callable[[Target], bool],
    ) -> None:
        """Take the cost of reaching a target, in means, and which targets to use last."""
        self._rooms = rooms
        self._reach_cost = reach_cost
        self._runs_suspect = runs_suspect

    def room_for(self, entry: LineEntry, due_s: float, now_s: float) -> TargetRoom | None:
        """Return the target for a call that is due at ``due_s``, None if it should wait.

        It waits if it would be late at any free target and a faster one becomes free in time.
        """
        rooms = [room for room in self.free_rooms(now_s) if self.fits(entry, room, now_s)]
        for room in rooms:
            if now_s + self.expected_s(room, now_s, for_trainer=entry.for_trainer) <= due_s:
                return room
        if not rooms or self._is_faster_room_due(entry, due_s, now_s):
            return None
        return rooms[0]

    def other_room_for(self, entry: LineEntry, now_s: float) -> TargetRoom | None:
        """Return a free target for a second attempt, none of those to avoid."""
        for room in self.free_rooms(now_s):
            is_other = room.target.instance not in entry.excluded
            if is_other and not room.is_closed and room.has_room(entry.body_bytes, now_s):
                return room
        return None

    def free_rooms(self, now_s: float) -> Sequence[TargetRoom]:
        """Return the rooms that take another call, the one that would answer first at the front."""
        free = [room for room in self._rooms.rooms.values() if room.has_room(0, now_s)]
        if len(free) > 1:
            free.sort(key=lambda room: self._placement_order(room, now_s))
        return free

    def _placement_order(self, room: TargetRoom, now_s: float) -> tuple[bool, float, float]:
        mean_s = self._rooms.mean_s(room, now_s, for_trainer=False)
        load = (room.in_flight + 1) / room.slots
        cost_s = (max(1.0, load) + self._reach_cost(room.target, now_s)) * mean_s
        return self._runs_suspect(room.target), cost_s, load

    def expected_s(self, room: TargetRoom, now_s: float, *, for_trainer: bool) -> float:
        """Return the expected time to the answer of a call that is sent to a target now."""
        load = (room.in_flight + 1) / room.slots
        return max(1.0, load) * self._rooms.mean_s(room, now_s, for_trainer=for_trainer)

    def fits(self, entry: LineEntry, room: TargetRoom, now_s: float) -> bool:
        """Whether a target may take a call; one to avoid only if no other accepts work."""
        if not room.has_room(entry.body_bytes, now_s):
            return False
        if room.target.instance not in entry.excluded:
            return True
        return all(
            other.is_closed or instance in entry.excluded
            for instance, other in self._rooms.rooms.items()
        )

    def _is_faster_room_due(self, entry: LineEntry, due_s: float, now_s: float) -> bool:
        """Whether a busy target becomes free in time to answer a call when it is due."""
        for room in self._rooms.rooms.values():
            if room.is_closed or room.has_room(entry.body_bytes, now_s):
                continue
            mean_s = self._rooms.mean_s(room, now_s, for_trainer=entry.for_trainer)
            if now_s + mean_s * (1.0 / room.slots + 1.0) <= due_s:
                return True
        return False
