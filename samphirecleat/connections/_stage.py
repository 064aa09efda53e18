"""What a connection is doing."""

from enum import Enum


class Stage(Enum):
    """What a connection is doing; those that do least come first."""

    NEW = "new"
    """It has not carried a complete head yet."""
    IDLE = "idle"
    """It waits for its next request, which may have begun."""
    RECEIVING = "receiving"
    """The body of its request is incomplete."""
    UNREAD = "unread"
    """Its client has not taken all that was written of an answer."""
    RUNNING = "running"
    """Its request is complete and not answered yet."""
