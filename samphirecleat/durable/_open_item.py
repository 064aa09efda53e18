"""An item of an open step with the data that determines how it is run."""

from typing import NamedTuple

from ..serving import Route
from ._fold import StepState
from ._item_decisions import ItemName
from ._records import ItemSpec


class OpenItem(NamedTuple):
    """An item, its step, and the route through which the step was submitted."""

    step: StepState
    item: ItemSpec
    route: Route

    @property
    def name(self) -> ItemName:
        """The IDs of the step and the item."""
        return self.step.spec.step_id, self.item.item_id
