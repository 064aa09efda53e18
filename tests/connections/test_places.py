"""Which connection gives way when all places are taken."""

import asyncio

import pytest

from samphirecleat.connections import max_client_connections

from .sites import Client, Site, head, run


@pytest.mark.parametrize(
    ("descriptors", "memory_mb", "expected"),
    [(1000, 200, 400), (8200, 180, 2250), (100, 1000, 16), (1_000_000, 1, 16)],
)
def test_places_fit_into_descriptors_and_memory(
    descriptors: int, memory_mb: int, expected: int
) -> None:
    assert max_client_connections(descriptors, memory_mb) == expected


async def connect_all(site: Site, sent: list[bytes]) -> list[Client]:
    """Open a connection for each of ``sent``; return once all of them have a place."""
    clients = []
    for number, data in enumerate(sent, 1):
        client = await Client.connect(site)
        await client.send(data)
        while site.observer.counters["connections_open"] < number:
            await asyncio.sleep(0.01)
        if data == head("/"):
            assert (await client.answer())[0] == 200
        clients.append(client)
    while site.begun < sum(b"\r\n\r\n" in data for data in sent):
        await asyncio.sleep(0.01)
    return clients


HALF_BODY = head("/", method="POST", lines=b"Content-Length: 9\r\n") + b"a"


@pytest.mark.parametrize(
    ("sent", "evicted"),
    [
        ([head("/slow"), head("/"), b"", b"GET /"], 2),
        ([head("/"), HALF_BODY, head("/slow"), head("/")], 0),
        ([HALF_BODY, head("/slow"), head("/slow"), head("/slow")], None),
    ],
)
def test_the_connection_that_does_least_gives_way(sent: list[bytes], evicted: int | None) -> None:
    """Guards against a crowd that holds all connections, so that no other caller is served."""

    async def body(site: Site) -> None:
        clients = await connect_all(site, sent)
        new = await Client.connect(site)
        if evicted is None:
            assert await new.is_closed()
            assert site.count("no_place") == 1
        else:
            await new.send(head("/new"))
            assert await new.answer() == (200, b"GET /new ")
            assert await clients[evicted].is_closed()
            assert site.count("evicted") == 1
        site.go.set()
        for client, data in zip(clients, sent, strict=True):
            if data == head("/slow"):
                assert await client.answer() == (200, b"GET /slow ")

    run(body, max_connections=4)


def test_a_body_that_stopped_arriving_gives_way_to_a_new_connection() -> None:
    async def body(site: Site) -> None:
        clients = await connect_all(site, [HALF_BODY, head("/slow")])
        await asyncio.sleep(2.1)
        new = await Client.connect(site)
        await new.send(head("/new"))
        assert (await new.answer())[0] == 200
        assert await clients[0].is_closed()
        site.go.set()
        assert (await clients[1].answer())[0] == 200

    run(body, max_connections=2)


def test_a_client_that_does_not_read_its_answer_gives_way_to_a_new_connection() -> None:
    """Guards against clients that hold all places by not reading what they asked for."""

    async def body(site: Site) -> None:
        unread = await Client.connect(site)
        await unread.send(head("/large") * 100)
        running = await Client.connect(site)
        await running.send(head("/slow"))
        await asyncio.sleep(0.5)
        async with asyncio.timeout(10.0):
            while not site.count("evicted"):
                new = await Client.connect(site)
                await asyncio.sleep(0.2)
        await new.send(head("/new"))
        assert (await new.answer())[0] == 200
        site.go.set()
        assert (await running.answer())[0] == 200

    run(body, max_connections=2)
