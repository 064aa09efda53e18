"""Stores the item specifications of steps in the log, separately from the steps."""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from .._decoding import MalformedError, decode_msgpack
from ._ports import LogUnavailableError
from ._records import ItemSpec, TextRef
from ._texts import TextStore

_DECODER: Final = msgspec.msgpack.Decoder(list[ItemSpec])
# Name of the items among the blobs of a step.
_ITEMS_NAME: Final = ""


class ItemStore:
    """Writes and reads the items of steps, in the same topics as the texts of their results."""

    def __init__(self, texts: TextStore) -> None:
        """Store the items through ``texts``."""
        self._texts = texts

    async def write(self, step_id: str, items: Sequence[ItemSpec]) -> TextRef | None:
        """Write the items of a step; return their location, None unless confirmed."""
        refs = await self._texts.write_blobs(step_id, {_ITEMS_NAME: msgspec.msgpack.encode(items)})
        return refs[_ITEMS_NAME] if refs is not None else None

    async def read(self, ref: TextRef) -> Mapping[str, ItemSpec]:
        """Return the items of a step by item ID.

        :raises LogUnavailableError: when they cannot be read now.
        """
        blobs = await self._texts.read_blobs([ref])
        try:
            items = decode_items(blobs[ref.key])
        except MalformedError as error:
            raise LogUnavailableError(f"items cannot be decoded: {error}") from error
        return {item.item_id: item for item in items}


def decode_items(blob: bytes) -> Sequence[ItemSpec]:
    """Return the items of a step.

    :raises MalformedError: when the blob cannot be decoded.
    """
    items: Sequence[ItemSpec] = decode_msgpack(_DECODER, blob)
    return items
