"""A substitute for the platform's host list service, whose entries are delayed."""

import time
from collections.abc import Iterable
from typing import NamedTuple

from aiohttp import web

from ._server import StandInServer


class HostRow(NamedTuple):
    """One host as the list reports it."""

    address: str
    service: str
    zone: str
    state: str = "live"


class StandInHostList(StandInServer):
    """Serves each change ``lag_s`` after it was made; answers 503 while ``down``.

    ``told_leaving_at_s`` records, by address, when a response first listed the host
    as leaving.
    """

    def __init__(self, *, lag_s: float = 1.0) -> None:
        """Create an empty host list."""
        super().__init__()
        self.lag_s = lag_s
        self.down = False
        self._changes: list[tuple[float, HostRow | str]] = []
        self._addresses: set[str] = set()
        self.told_leaving_at_s: dict[str, float] = {}

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the route that lists hosts."""
        router.add_get("/v1/hosts", self._list_hosts)

    def put(self, row: HostRow, *, at_once: bool = False) -> None:
        """Add or replace the row of an address; ``at_once`` skips the lag."""
        visible_at_s = 0.0 if at_once else time.monotonic() + self.lag_s
        self._changes.append((visible_at_s, row))
        self._addresses.add(row.address)

    def remove(self, address: str) -> None:
        """Remove the row of an address after the lag."""
        self._changes.append((time.monotonic() + self.lag_s, address))
        self._addresses.discard(address)

    def put_all(self, rows: Iterable[HostRow]) -> None:
        """Replace all rows after the lag."""
        new_rows = {row.address: row for row in rows}
        for address in self._addresses - set(new_rows):
            self.remove(address)
        for row in new_rows.values():
            self.put(row)

    def visible_rows(self) -> list[HostRow]:
        """Return the rows that a request would get now."""
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

    async def _list_hosts(self, _request: web.Request) -> web.StreamResponse:
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        rows = self.visible_rows()
        for row in rows:
            if row.state == "leaving":
                self.told_leaving_at_s.setdefault(row.address, time.monotonic())
        return web.json_response({"hosts": [row._asdict() for row in rows]})
