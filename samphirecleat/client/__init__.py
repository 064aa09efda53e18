"""The asyncio client library for callers and trainers."""

from ._caller import CallAnswer, CallerClient
from ._entries import Entry, EntryList
from ._trainer import Group, StepRequest, TrainerClient

__all__ = [
    "CallAnswer",
    "CallerClient",
    "Entry",
    "EntryList",
    "Group",
    "StepRequest",
    "TrainerClient",
]
