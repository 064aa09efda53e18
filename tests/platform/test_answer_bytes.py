"""The memory for answers that arrive: answers beyond it are cut, all others are read as a whole."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest

from samphirecleat.observe import Observer
from samphirecleat.platform._answer_bytes import (
    UNCOUNTED_BYTES,
    AnswerBytes,
    AnswerTooLargeError,
)
from samphirecleat.targets import make_connector, use_strict_handler

LIMIT_BYTES = 1_000_000
ORDINARY_BYTES = 800
CHUNK = b"4000\r\n" + b"a" * 16384 + b"\r\n"


class SizedTarget:
    """Answers ``/N`` with N bytes, in chunks on ``/chunks/N``; ``/held/N`` then sends no more."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
            size_bytes = int(path.rpartition(b"/")[2])
            if path.startswith(b"/chunks/"):
                writer.write(
                    b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                writer.write(CHUNK * (size_bytes // 16384) + b"0\r\nX-Trailer: 1\r\n\r\n")
            elif path.startswith(b"/held/"):
                writer.write(
                    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 999999\r\n\r\n"
                )
                writer.write(b"a" * size_bytes)
                await reader.read()
            else:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
                    % size_bytes
                )
                writer.write(b"a" * size_bytes)
            await writer.drain()
            await reader.read()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def sized_target() -> AsyncIterator[tuple[aiohttp.ClientSession, str]]:
    server = await asyncio.start_server(SizedTarget().serve, "127.0.0.1", 0)
    connector = use_strict_handler(make_connector(1.0))
    async with server, aiohttp.ClientSession(connector=connector) as session:
        yield session, f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def read_size(answers: AnswerBytes, session: aiohttp.ClientSession, url: str) -> int:
    async with session.get(url) as response:
        return len(await answers.read(response))


@pytest.mark.parametrize("path", ["/0", "/800", "/65536", "/1000000", "/chunks/983040"])
def test_an_answer_up_to_the_limit_is_read_as_a_whole(path: str) -> None:
    async def body() -> None:
        observer = Observer("n1")
        answers = AnswerBytes(observer, LIMIT_BYTES)
        async with sized_target() as (session, url):
            size_bytes = await read_size(answers, session, url + path)
            assert size_bytes == int(path.rpartition("/")[2])
            assert answers.budget.held_bytes == 0

    asyncio.run(body())


@pytest.mark.parametrize("path", ["/1000001", "/chunks/2000000", "/99999999"])
def test_an_answer_beyond_the_limit_is_cut_and_leaves_nothing_held(path: str) -> None:
    """Guards against a node that ends because it keeps all that a target sends as one body."""

    async def body() -> None:
        observer = Observer("n1")
        answers = AnswerBytes(observer, LIMIT_BYTES)
        async with sized_target() as (session, url):
            with pytest.raises(AnswerTooLargeError):
                await read_size(answers, session, url + path)
            assert answers.budget.held_bytes == 0
            assert observer.counters["answers_cut"] == 1

    asyncio.run(body())


def test_ordinary_answers_pass_while_others_fill_the_memory() -> None:
    """Guards against callers of all targets that get 502 because of one target's answers."""

    async def body() -> None:
        observer = Observer("n1")
        answers = AnswerBytes(observer, LIMIT_BYTES)
        async with sized_target() as (session, url):
            held = [
                asyncio.ensure_future(read_size(answers, session, f"{url}/held/900000"))
                for _ in range(3)
            ]
            async with asyncio.timeout(10.0):
                while answers.budget.held_bytes < LIMIT_BYTES / 2:
                    await asyncio.sleep(0.01)
            for size_bytes in (ORDINARY_BYTES, UNCOUNTED_BYTES):
                assert await read_size(answers, session, f"{url}/{size_bytes}") == size_bytes
            assert answers.budget.held_bytes <= 2 * LIMIT_BYTES
            for task in held:
                task.cancel()
            await asyncio.gather(*held, return_exceptions=True)
            assert answers.budget.held_bytes == 0

    asyncio.run(body())


@pytest.mark.parametrize("pause_s", [0.0, 0.002])
def test_a_long_chunked_answer_is_no_framing_without_end(pause_s: float) -> None:
    """Guards against an answer that is cut because its reader is slower than its target."""

    async def body() -> None:
        size_bytes = 0
        async with sized_target() as (session, url), session.get(f"{url}/chunks/8388608") as got:
            async for chunk in got.content.iter_any():
                size_bytes += len(chunk)
                await asyncio.sleep(pause_s)
        assert size_bytes == 8388608

    asyncio.run(body())
