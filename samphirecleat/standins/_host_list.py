"""A small stand-in for the platform's host list, which lags behind reality."""

import time
from collections.abc import Iterable
from typing import NamedTuple

from aiohttp import web

from ._server import StandInServer


class HostRow(NamedTuple):
    """One row that the list will show."""

    address: str
    service: str
    zone: str
    state: str = "live"


class StandInHostList(StandInServer):
    """Shows each change only ``lag_s`` after it was made; ``down`` answers 503.

    The ledger ``told_leaving_at_s`` holds when it first told anyone that a host leaves.
    """

    def __init__(self, *, lag_s: float = 1.0) -> None:
        """Start with an empty list."""
        super().__init__()
        self.lag_s = lag_s
        self.down = False
        self._changes: list[tuple[float, HostRow | str]] = []
        self._addresses: set[str] = set()
        self.told_leaving_at_s: dict[str, float] = {}

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the one route."""
        router.add_get("/v1/hosts", self._hosts)

    def put(self, row: HostRow, *, at_once: bool = False) -> None:
        """Add or replace the row of an address; ``at_once`` goes round the lag."""
        visible_at_s = 0.0 if at_once else time.monotonic() + self.lag_s
        self._changes.append((visible_at_s, row))
        self._addresses.add(row.address)

    def remove(self, address: str) -> None:
        """Take the row of an address off the list, after the lag."""
        self._changes.append((time.monotonic() + self.lag_s, address))
        self._addresses.discard(address)

    def put_all(self, rows: Iterable[HostRow]) -> None:
        """Make the list hold just these rows, after the lag."""
        wanted = {row.address: row for row in rows}
        for address in self._addresses - set(wanted):
            self.remove(address)
        for row in wanted.values():
            self.put(row)

    def visible_rows(self) -> list[HostRow]:
        """Return what the list shows now."""
        now_s = time.monotonic()
        rows: dict[str, HostRow] = {}
        for visible_at_s, change in self._changes:
            if visible_at_s > now_s:
                continue
            if isinstance(change, HostRow):
                rows[change.address] = change
            else:
                rows.pop(change, None)
        return list(rows.values())

    async def _hosts(self, _request: web.Request) -> web.StreamResponse:
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        rows = self.visible_rows()
        for row in rows:
            if row.state == "leaving":
                self.told_leaving_at_s.setdefault(row.address, time.monotonic())
        return web.json_response({"hosts": [row._asdict() for row in rows]})
