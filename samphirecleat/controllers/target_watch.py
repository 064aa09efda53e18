"""Asks targets for their reports and keeps the target section."""

import asyncio
from collections.abc import Mapping

from ..blackboard import Blackboard, TargetView
from ..targets import TargetClient


class TargetWatch:
    """Polls every target of the services in force."""

    def __init__(self, board: Blackboard, client: TargetClient, period_s: float) -> None:
        """Ask each target every ``period_s``."""
        self._board = board
        self._client = client
        self._period_s = period_s

    async def drive(self) -> None:
        """Poll for as long as the node lives."""
        while True:
            await self.poll_once()
            await asyncio.sleep(self._period_s)

    async def poll_once(self) -> None:
        """Ask every target once and write what they say."""
        wanted = wanted_targets(self._board)
        for address in list(self._board.targets):
            if address not in wanted:
                del self._board.targets[address]
        await asyncio.gather(*(self._ask(target) for target in wanted.values()))

    async def _ask(self, target: TargetView) -> None:
        known = self._board.targets.get(target.address, target)
        now_s = asyncio.get_running_loop().time()
        report = await self._client.report(known, now_s)
        listed = self._board.listed_targets.get(target.address)
        leaving_on_list = listed is not None and listed[2]
        self._board.targets[target.address] = report._replace(
            leaving=report.leaving or leaving_on_list
        )


def wanted_targets(board: Blackboard) -> Mapping[str, TargetView]:
    """Return the targets that the text names or the host list shows."""
    services = board.config.services.services
    wanted = {
        address: TargetView(address, service, zone)
        for address, (service, zone, _leaving) in board.listed_targets.items()
        if service in services and not services[service].targets
    }
    for service in services.values():
        for target in service.targets:
            wanted[target.address] = TargetView(target.address, service.name, target.zone)
    return wanted
