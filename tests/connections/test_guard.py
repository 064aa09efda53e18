"""What a guarded server accepts from its clients, and what it refuses."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from .sites import LIMITS, Client, Site, head, run

CHUNKED = b"Transfer-Encoding: chunked\r\n"
UPGRADE = b"Connection: upgrade\r\nUpgrade: websocket\r\n"


def post(path: str, lines: bytes, body: bytes) -> bytes:
    return head(path, method="POST", lines=lines) + body


def chunked(body: bytes, path: str = "/") -> bytes:
    return post(path, CHUNKED, body)


REQUESTS = [
    (head("/1"), b"GET /1 "),
    (b"\r\n" + post("/2", b"Content-Length: 5\r\n", b"\r\n\r\n1"), b"POST /2 \r\n\r\n1"),
    (chunked(b"4\r\n\r\n\r\n\r\n1;x=y\r\na\r\n0\r\n\r\n", "/3"), b"POST /3 \r\n\r\na"),
    (chunked(b"1\r\nb\r\n0\r\nT: 1\r\n\r\n", "/4"), b"POST /4 b"),
    (post("/5", b"Content-Length: 0\r\n", b""), b"POST /5 "),
    (head("/6", size_bytes=LIMITS.head_bytes), b"GET /6 "),
]
STREAM = b"".join(data for data, _answer in REQUESTS)


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=12))
def test_requests_are_answered_however_their_bytes_are_cut(cuts: list[int]) -> None:
    """Guards against a guard that takes a part of one request for a part of another."""

    async def body(site: Site) -> None:
        client = await Client.connect(site)
        ends = [*sorted(cuts), len(STREAM)]
        for begin, end in zip([0, *ends], ends, strict=False):
            await client.send(STREAM[begin:end])
            await asyncio.sleep(0.001)
        for _data, answer in REQUESTS:
            assert await client.answer() == (200, answer)
        client.close()

    run(body)


@pytest.mark.parametrize("chunk_bytes", [1, 1_000, 400_000])
def test_long_bodies_are_answered_and_so_is_what_follows_them(chunk_bytes: int) -> None:
    """Guards against a body whose rest is parsed while it is being parsed, or not at all."""

    async def body(site: Site) -> None:
        client = await Client.connect(site)
        chunk = b"%x\r\n" % chunk_bytes + b"a" * chunk_bytes + b"\r\n"
        count = 400_000 // chunk_bytes if chunk_bytes > 1 else 20_000
        request = chunked(chunk * count + b"0\r\n\r\n")
        answer = b"POST / " + b"a" * chunk_bytes * count
        plain = post("/", b"Content-Length: 400000\r\n", b"\n" * 400_000)
        sending = asyncio.ensure_future(client.send(request + plain + request + head("/last")))
        assert await client.answer() == (200, answer)
        assert await client.answer() == (200, b"POST / " + b"\n" * 400_000)
        assert await client.answer() == (200, answer)
        assert await client.answer() == (200, b"GET /last ")
        await sending
        client.close()

    run(body)


BEFORE = {
    "nothing": b"",
    "empty lines": b"\r\n" * 20,
    "an answered request": head("/1"),
    "a body in chunks": chunked(b"1\r\na\r\n0\r\n\r\n"),
}


@pytest.mark.parametrize("before", BEFORE)
def test_a_head_of_exactly_the_limit_is_served_and_no_longer_one(before: str) -> None:
    """Guards against a limit that is off by what was sent before the head."""

    async def body(site: Site) -> None:
        empty_bytes = len(BEFORE[before]) if before == "empty lines" else 0
        for extra_bytes, status in ((0, 200), (1, 431)):
            client = await Client.connect(site)
            await client.send(BEFORE[before])
            if before not in ("nothing", "empty lines"):
                assert (await client.answer())[0] == 200
            await client.send(head("/", LIMITS.head_bytes - empty_bytes + extra_bytes))
            assert (await client.answer())[0] == status
            client.close()

    run(body)


def test_the_slowest_head_within_the_limits_is_served() -> None:
    """Guards against a timer that runs before the first byte of a head, or is too short."""

    async def body(site: Site) -> None:
        limits = site.limits = LIMITS._replace(head_timeout_s=4.0, idle_timeout_s=2.0)
        client = await Client.connect(site)
        # The head begins shortly before the connection has been idle for too long.
        await asyncio.sleep(0.8 * limits.idle_timeout_s)
        data = head("/", LIMITS.head_bytes)
        for begin in range(0, len(data), 100):
            await client.send(data[begin : begin + 100])
            await asyncio.sleep(limits.head_timeout_s / 20)
        assert (await client.answer())[0] == 200
        await asyncio.sleep(0.8 * limits.idle_timeout_s)
        await client.send(head("/again"))
        assert (await client.answer())[0] == 200
        client.close()

    run(body)


@pytest.mark.parametrize("sent", [b"GET /", b"\r\n", head("/") + b"GET /"])
def test_a_head_that_does_not_end_is_refused_in_time(sent: bytes) -> None:
    """Guards against clients that hold connections by sending their heads byte by byte."""

    async def body(site: Site) -> None:
        site.limits = LIMITS._replace(head_timeout_s=0.6)
        client = await Client.connect(site)
        await client.send(sent)
        if sent.startswith(head("/")):
            assert (await client.answer())[0] == 200
        assert (await client.answer())[0] == 408
        assert await client.is_closed()
        assert site.count("head_timeout") == 1

    run(body)


def test_a_refusal_reaches_a_client_that_goes_on_sending() -> None:
    """Guards against a reset that destroys the refusal while the client is still sending."""

    async def body(site: Site) -> None:
        client = await Client.connect(site)
        sending = asyncio.ensure_future(client.send(head("/", 300_000)))
        assert await client.answer() == (431, b"")
        assert await client.is_closed()
        sending.cancel()

    run(body)


@pytest.mark.parametrize(
    ("sent", "status", "reason"),
    [
        (b"\x16\x03\x01\x02", 400, "malformed"),
        (b"GET / HTTP/9.9\r\n\r\n", 400, "malformed"),
        (head("/", lines=b"no field\r\n"), 400, "malformed"),
        (chunked(b"no size\r\n"), 400, "malformed"),
        (chunked(b"1\r\na\r\n" + b"0" * 2000), 400, "body_framing"),
        (chunked(b"1\r\na\r\n0\r\n" + b"A: b\r\n" * 400), 400, "body_framing"),
        (chunked((b"1" + b" ;" + b"x" * 90 + b"\r\na\r\n") * 50), 400, "body_framing"),
        (chunked(b"5\r\nab"), 408, "body_timeout"),
        (post("/", b"Content-Length: 5\r\n", b"ab"), 408, "body_timeout"),
    ],
)
def test_malformed_and_unfinished_requests_are_refused(
    sent: bytes, status: int, reason: str
) -> None:
    """Guards against a handler that waits without end, and against a log line for each refusal."""

    async def body(site: Site) -> None:
        if reason == "body_timeout":
            site.limits = LIMITS._replace(idle_timeout_s=1.0)
        client = await Client.connect(site)
        await client.send(sent)
        assert (await client.answer())[0] == status
        assert await client.is_closed()
        assert site.count(reason) == 1
        assert site.bodies == []

    run(body)


def test_bodies_with_much_framing_within_the_limits_are_served() -> None:
    """Guards against a limit on framing that a client inside the limits meets."""

    async def body(site: Site) -> None:
        client = await Client.connect(site)
        lines = b"".join(b"a%d:\r\n" % (number % 10) for number in range(180))
        await client.send(head("/", method="POST", lines=CHUNKED + lines))
        await client.send(b"1\r\na\r\n" * 50_000 + b"0\r\n\r\n")
        assert await client.answer() == (200, b"POST / " + b"a" * 50_000)
        client.close()

    run(body)


def test_limits_of_a_new_configuration_apply_to_open_connections() -> None:
    async def body(site: Site) -> None:
        client = await Client.connect(site)
        data = head("/", LIMITS.head_bytes + 1)
        site.limits = LIMITS._replace(head_bytes=LIMITS.head_bytes + 1)
        await client.send(data)
        assert (await client.answer())[0] == 200
        site.limits = LIMITS
        await client.send(data)
        assert (await client.answer())[0] == 431

    run(body)


def test_a_running_request_is_answered_before_what_follows_it_is_refused() -> None:
    """Guards against a request that runs and loses its answer to a bad one behind it."""

    async def body(site: Site) -> None:
        client = await Client.connect(site)
        await client.send(head("/slow"))
        sending = asyncio.ensure_future(client.send(b"A" * 500_000))
        await asyncio.sleep(0.1)
        site.go.set()
        assert await client.answer() == (200, b"GET /slow ")
        assert (await client.answer())[0] == 431
        assert await client.is_closed()
        sending.cancel()

    run(body)


@pytest.mark.parametrize("sent", [b"", b"GET /", head("/slow")])
def test_a_client_that_disconnects_frees_its_place(sent: bytes) -> None:
    async def body(site: Site) -> None:
        client = await Client.connect(site)
        await client.send(sent)
        while site.observer.counters["connections_open"] != 1:
            await asyncio.sleep(0.01)
        client.close()
        while site.observer.counters["connections_open"]:
            await asyncio.sleep(0.01)

    run(body)


@pytest.mark.parametrize(
    "data",
    [
        head("/", lines=UPGRADE),
        post("/", UPGRADE + b"Content-Length: 1\r\n", b"a"),
        b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
    ],
)
def test_a_request_for_another_protocol_is_answered_and_its_connection_closed(data: bytes) -> None:
    """Guards against bytes behind such a request that the HTTP library would keep without end."""

    async def body(site: Site) -> None:
        client = await Client.connect(site)
        await client.send(data + b"x" * 5000)
        status, _body = await client.answer()
        assert status == 200
        assert await client.is_closed()

    run(body)


def test_an_early_answer_is_delivered_and_a_short_rest_of_the_body_dropped() -> None:
    async def body(site: Site) -> None:
        client = await Client.connect(site)
        lines = b"Content-Length: 200000\r\n"
        for _ in range(2):
            await client.send(head("/early", method="POST", lines=lines))
            assert (await client.answer())[0] == 404
            await client.send(b"a" * 200_000)
        await client.send(head("/next"))
        assert (await client.answer())[0] == 200
        client.close()

    run(body)


def test_an_early_answer_is_followed_by_no_endless_reading() -> None:
    """Guards against a client that sends a body without end although it has its answer."""

    async def body(site: Site) -> None:
        client = await Client.connect(site)
        await client.send(head("/early", method="POST", lines=CHUNKED))
        assert (await client.answer())[0] == 404
        await client.send_until_closed(b"10000\r\n" + b"a" * 0x10000 + b"\r\n")
        assert site.count("unread_body") == 1

    run(body)


def test_a_body_of_many_lines_with_a_length_is_read_at_once() -> None:
    """Guards against turns for what is not expensive to parse."""

    async def body(site: Site) -> None:
        client = await Client.connect(site)
        site.shared.turns.add = None  # type: ignore[assignment, method-assign]
        await client.send(post("/", b"Content-Length: 10000\r\n", b"\n" * 10_000))
        assert await client.answer() == (200, b"POST / " + b"\n" * 10_000)
        client.close()

    run(body)


def test_bodies_beyond_the_memory_for_them_are_refused() -> None:
    """Guards against handlers without a budget of their own that read bodies without a bound."""

    async def body(site: Site) -> None:
        site.limits = LIMITS._replace(idle_timeout_s=1.0)
        data = head("/", method="POST", lines=b"Content-Length: 90000\r\n") + b"a" * 80_000
        clients = [await Client.connect(site) for _ in range(4)]
        for client in clients:
            await client.send(data)
        statuses = sorted([(await client.answer())[0] for client in clients])
        assert statuses[-1] == 503
        assert site.count("no_memory") >= 1
        while site.shared.budget.held_bytes:
            await asyncio.sleep(0.01)

    run(body, request_bytes=150_000)
