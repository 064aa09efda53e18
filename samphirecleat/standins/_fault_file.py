"""Faults of a stand-in that runs as a process: a seeded table in a JSON file.

The file is JSON with comments: ``{"seed": 1, "faults": {"NAME": {...}, ...}}``.
Each fault comes ``after_s`` from the start, and up to ``jitter_s`` later as the
seed draws it. It either sets a switch or number of the stand-in (``"set": "down",
"to": 1``) or calls a method of it (``"call": "silence_open_connections"``).
"""

import asyncio
import inspect
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .._jsonc import DocumentReader, read_document
from ._server import StandInServer


@dataclass(frozen=True)
class SetAttribute:
    """Give an attribute of the stand-in a value."""

    name: str
    value: bool | int | float


@dataclass(frozen=True)
class CallMethod:
    """Call a method of the stand-in that needs no argument."""

    name: str


FaultAction = SetAttribute | CallMethod


@dataclass(frozen=True)
class TimedFault:
    """A fault and when it comes, in seconds from the stand-in's start."""

    at_s: float
    action: FaultAction


def read_fault_file(text: str, source: str, stand_in: StandInServer) -> Sequence[TimedFault]:
    """Return the faults of a file, the earliest first.

    :raises samphirecleat._jsonc.DocumentError: with every fault of the file itself.
    """

    def build(reader: DocumentReader) -> Sequence[TimedFault]:
        rng = random.Random(reader.take_integer("seed", 0))
        rows = reader.take_objects("faults")
        faults = [_take_fault(row, rng, stand_in) for row in rows.values()]
        reader.close()
        return sorted(faults, key=lambda fault: fault.at_s)

    return read_document(text, source, build)


async def bring_about(stand_in: StandInServer, faults: Sequence[TimedFault]) -> None:
    """Bring each fault about at its time."""
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    for fault in faults:
        await asyncio.sleep(max(0.0, started_at_s + fault.at_s - loop.time()))
        match fault.action:
            case SetAttribute(name=name, value=value):
                setattr(stand_in, name, value)
            case CallMethod(name=name):
                result: Any = getattr(stand_in, name)()
                if inspect.isawaitable(result):
                    await result
        print(f"Fault at {fault.at_s:.2f} s: {fault.action}.", flush=True)


def _take_fault(row: DocumentReader, rng: random.Random, stand_in: StandInServer) -> TimedFault:
    after_s = row.take_number("after_s")
    at_s = after_s + rng.uniform(0.0, row.take_number("jitter_s", 0.0))
    action: FaultAction
    method = row.take_string("call", "")
    if method:
        action = CallMethod(method)
        if method.startswith("_") or not callable(getattr(stand_in, method, None)):
            row.add_error(f'this stand-in has no method "{method}"', "call")
    else:
        name = row.take_string("set")
        known = getattr(stand_in, name, None) if not name.startswith("_") else None
        if not isinstance(known, int | float):
            row.add_error(f'this stand-in has no switch or number "{name}"', "set")
            known = 0
        action = SetAttribute(name, type(known)(row.take_number("to")))
    row.close()
    return TimedFault(at_s, action)
