"""What a connection is doing."""

from enum import IntEnum


class Stage(IntEnum):
    """What a connection is doing; those that do least come first."""

    NEW = 0
    """It has not carried a complete head yet."""
    IDLE = 1
    """It waits for its next request, which may have begun."""
    RECEIVING = 2
    """The body of its request is incomplete."""
    UNREAD = 3
    """Its client has not taken all that was written of an answer."""
    RUNNING = 4
    """Its request is complete and not answered yet."""
