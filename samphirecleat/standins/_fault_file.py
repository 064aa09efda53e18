"""Scheduled faults of a stand-in process, read from a JSON file.

The file is JSON with comments: ``{"seed": 1, "faults": {"NAME": {...}, ...}}``.
Each fault occurs ``after_s`` after the start plus a delay of up to ``jitter_s``,
drawn from the seed. It either sets a boolean or numeric attribute of the stand-in
(``"set": "down", "to": 1``) or calls a method without arguments
(``"call": "silence_open_connections"``).
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
    """Sets an attribute of the stand-in to a value."""

    name: str
    value: bool | int | float


@dataclass(frozen=True)
class CallMethod:
    """Calls a method of the stand-in without arguments."""

    name: str


FaultAction = SetAttribute | CallMethod


@dataclass(frozen=True)
class TimedFault:
    """A fault and its time in seconds since the stand-in started."""

    at_s: float
    action: FaultAction


def read_fault_file(text: str, source: str, stand_in: StandInServer) -> Sequence[TimedFault]:
    """Parse a fault file and return its faults, earliest first.

    :raises samphirecleat._jsonc.DocumentError: listing every error in the file.
    """

    def build(reader: DocumentReader) -> Sequence[TimedFault]:
        rng = random.Random(reader.take_integer("seed", 0))
        rows = reader.take_objects("faults")
        faults = [_read_fault(row, rng, stand_in) for row in rows.values()]
        reader.close()
        return sorted(faults, key=lambda fault: fault.at_s)

    return read_document(text, source, build)


async def inject_faults(stand_in: StandInServer, faults: Sequence[TimedFault]) -> None:
    """Apply each fault at its scheduled time; ``faults`` must be sorted by time."""
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


def _read_fault(row: DocumentReader, rng: random.Random, stand_in: StandInServer) -> TimedFault:
    after_s = row.take_number("after_s")
    at_s = after_s + rng.uniform(0.0, row.take_number("jitter_s", 0.0))
    action: FaultAction
    method = row.take_string("call", "")
    if method:
        action = CallMethod(method)
        if method.startswith("_") or not callable(getattr(stand_in, method, None)):
            row.add_error(f'the stand-in has no public method "{method}"', "call")
    else:
        name = row.take_string("set")
        current_value = getattr(stand_in, name, None) if not name.startswith("_") else None
        if not isinstance(current_value, int | float):
            row.add_error(
                f'the stand-in has no public boolean or numeric attribute "{name}"', "set"
            )
            current_value = 0
        action = SetAttribute(name, type(current_value)(row.take_number("to")))
    row.close()
    return TimedFault(at_s, action)
