"""What the items of steps are made from, kept in the log apart from the steps."""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from ._ports import LogUnavailableError
from ._records import ItemSpec, TextRef
from ._texts import TextStore

_DECODER: Final = msgspec.msgpack.Decoder(list[ItemSpec])
# The key of a step's items among its texts.
_ITEMS_NAME: Final = ""


class ItemStore:
    """Writes and reads the items of steps, beside the texts of their results."""

    def __init__(self, texts: TextStore) -> None:
        """Keep them where ``texts`` keeps what it is given."""
        self._texts = texts

    async def write(self, step_id: str, items: Sequence[ItemSpec]) -> TextRef | None:
        """Return where a step's items stand, None if they may not be kept."""
        refs = await self._texts.write_blobs(step_id, {_ITEMS_NAME: msgspec.msgpack.encode(items)})
        return refs[_ITEMS_NAME] if refs is not None else None

    async def read(self, ref: TextRef) -> Mapping[str, ItemSpec]:
        """Return a step's items by id.

        :raises LogUnavailableError: when they can't be had now.
        """
        blobs = await self._texts.read_blobs([ref])
        try:
            items = _DECODER.decode(blobs[ref.key])
        except msgspec.MsgspecError as error:
            raise LogUnavailableError(f"items not understood: {error}") from error
        return {item.item_id: item for item in items}
