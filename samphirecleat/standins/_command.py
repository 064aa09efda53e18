"""The ``samphirecleat standin`` command, which runs one stand-in as a process."""

import asyncio
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import uvloop

from .._jsonc import DocumentError
from ._clients import run_callers, run_trainer
from ._engine import StandInEngine
from ._fault_file import TimedFault, inject_faults, read_fault_file
from ._host_list import HostRow, StandInHostList
from ._log import StandInLog
from ._plain import StandInPlainService, StandInScoring
from ._server import StandInServer
from ._weight_store import StandInWeightStore

EXIT_BAD_INPUT: Final = 2
HOSTS_FILE_POLL_S: Final = 0.5
SERVER_KINDS: Final = ("engine", "plain", "scoring", "log", "host-list", "weight-store")
CLIENT_KINDS: Final = ("trainer", "callers")


def standin_command(
    kind: str,
    port: int = 0,
    host: str = "127.0.0.1",
    service: str = "",
    zone: str = "zone-a",
    weight_store: str = "",
    hosts: str = "",
    faults: str = "",
    nodes: str = "",
    method: str = "generate",
    count: int = 1,
    scoring: str = "",
    idempotent: bool = True,
) -> None:
    """Run a stand-in: engine, plain, scoring, log, host-list, weight-store, trainer, callers.

    A server listens on ``host`` and ``port`` until it is interrupted and injects
    the faults of the JSON file ``faults``. A host list serves the rows of the JSON
    file ``hosts`` and rereads it when it changes. ``trainer`` runs ``count`` steps
    and ``callers`` make ``count`` calls through ``nodes`` (comma-separated IP:port),
    then exit.
    """
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            if kind in SERVER_KINDS:
                stand_in = make_stand_in(kind, service, zone, weight_store)
                timed = _read_faults(faults, stand_in)
                runner.run(_serve(stand_in, kind, host, port, hosts, timed))
            elif kind == "trainer":
                runner.run(
                    run_trainer(_split_addresses(nodes), service, scoring, weight_store, count)
                )
            elif kind == "callers":
                calls = run_callers(
                    _split_addresses(nodes), service, method, count, idempotent=idempotent
                )
                print(dict(runner.run(calls)))
            else:
                _exit_with_usage_error(
                    f"unknown kind {kind}; allowed: {', '.join(SERVER_KINDS + CLIENT_KINDS)}"
                )
    except DocumentError as error:
        _exit_with_usage_error(str(error))
    except KeyboardInterrupt:
        return


def make_stand_in(kind: str, service: str, zone: str, weight_store: str) -> StandInServer:
    """Return a stand-in that is not listening yet.

    :raises ValueError: if ``kind`` is not one of :data:`SERVER_KINDS`.
    """
    match kind:
        case "engine":
            return StandInEngine(service, zone, weight_store)
        case "plain":
            return StandInPlainService(service, zone)
        case "scoring":
            return StandInScoring(service, zone)
        case "log":
            return StandInLog()
        case "host-list":
            return StandInHostList()
        case "weight-store":
            return StandInWeightStore()
    raise ValueError(kind)


async def _serve(
    stand_in: StandInServer,
    kind: str,
    host: str,
    port: int,
    hosts: str,
    faults: Sequence[TimedFault],
) -> None:
    await stand_in.start(port, host)
    print(f"The stand-in {kind} listens on {stand_in.address}.", flush=True)
    async with asyncio.TaskGroup() as group:
        group.create_task(inject_faults(stand_in, faults))
        if isinstance(stand_in, StandInHostList):
            group.create_task(_follow_hosts_file(stand_in, hosts))
        await asyncio.Event().wait()


async def _follow_hosts_file(host_list: StandInHostList, path: str) -> None:
    """Poll a JSON file of host rows and apply each change to the host list."""
    rows: Sequence[HostRow] = ()
    while path:
        current_rows = _read_rows(path)
        if current_rows != rows:
            rows = current_rows
            host_list.put_all(rows)
        await asyncio.sleep(HOSTS_FILE_POLL_S)


def _read_rows(path: str) -> Sequence[HostRow]:
    return [HostRow(**row) for row in json.loads(Path(path).read_text())]


def _read_faults(path: str, stand_in: StandInServer) -> Sequence[TimedFault]:
    return read_fault_file(Path(path).read_text(), path, stand_in) if path else ()


def _split_addresses(nodes: str | Sequence[str]) -> Sequence[str]:
    # Fire parses "a,b" into a tuple before the command is called.
    return nodes.split(",") if isinstance(nodes, str) else nodes


def _exit_with_usage_error(reason: str) -> None:
    print(reason, file=sys.stderr)
    sys.exit(EXIT_BAD_INPUT)
