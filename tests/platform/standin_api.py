"""A stand-in of the platform's API whose calls are duties of one node at a time."""

from aiohttp import web

from samphirecleat.standins import StandInServer


class ApiStandIn(StandInServer):
    """Takes usage reports and orders of targets, and checks their fencing numbers.

    ``answers`` says what becomes of the next calls: a status, with nothing done, or ``lost``: done,
    and the connection closes without an answer. ``broken`` lists what must never happen.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reports: dict[int, dict[str, int]] = {}
        self.orders: list[dict[str, object]] = []
        self.holders: list[tuple[str, int]] = []
        self.answers: list[str | int] = []
        self.broken: list[str] = []
        self._fences: dict[str, int] = {}
        self._holder_of: dict[tuple[str, int], str] = {}

    def add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/usage", self._usage)
        router.add_post("/scale", self._scale)

    def _admit(self, request: web.Request, subject: str) -> bool:
        """Whether a call's fencing number is not below one that was seen."""
        holder = request.headers["X-Duty-Holder"]
        fence = int(request.headers["X-Fencing-Token"])
        self.holders.append((holder, fence))
        if self._holder_of.setdefault((subject, fence), holder) != holder:
            self.broken.append(f"two holders of {subject} with number {fence}")
        if fence < self._fences.get(subject, -1):
            return False
        self._fences[subject] = fence
        return True

    async def _answer(self, request: web.Request, subject: str) -> tuple[web.Response, bool]:
        """Return the answer to a call, and whether it is carried out."""
        answer = self.answers.pop(0) if self.answers else ""
        if isinstance(answer, int):
            return web.Response(status=answer), False
        if not self._admit(request, subject):
            return web.Response(status=409), False
        if answer == "lost":
            assert request.transport is not None
            request.transport.abort()
        return web.Response(), True

    async def _usage(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        response, done = await self._answer(request, "usage")
        if done:
            window, counts = body["windowNumber"], body["counts"]
            if self.reports.setdefault(window, counts) != counts:
                self.broken.append(f"two reports of window {window}")
        return response

    async def _scale(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        response, done = await self._answer(request, f"scale {body['service']} {body['zone']}")
        if done:
            self.orders.append(body)
        return response
