"""The datagrams between nodes: probes, and the news that rides on them.

Ages travel instead of times of day, since no two hosts share a clock: a sender
says how long ago a thing was so, and the receiver subtracts that from its own
clock. Time spent on the network makes a row look a little younger than it is.
"""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from ..blackboard import Member


class MessageKind(IntEnum):
    """What a datagram asks of its receiver."""

    PING = 1
    ACK = 2
    PING_REQ = 3
    UPDATE = 4
    EXIT = 5


class MemberRow(NamedTuple):
    """A member's own row and how long ago the member itself made it."""

    member: Member
    age_ms: int


class Death(NamedTuple):
    """That a process gives no sign of life.

    ``silent_for_ms`` is the time since the first probe that it left unanswered.
    ``self_reported`` is set when the process itself said that it ends.
    """

    incarnation: str
    silent_for_ms: int
    self_reported: bool


class TargetRow(NamedTuple):
    """What a target said of itself; sent when something but its load changed.

    ``poll_age_ms`` is the time since a node asked it, ``report_age_ms`` the time
    since the target took the load that it reported.
    """

    address: str
    instance: str
    version: int
    loading: bool
    leaving: bool
    reachable: bool
    running: int
    waiting: int
    slots: int
    poll_age_ms: int
    report_age_ms: int


class TargetLoad(NamedTuple):
    """A target's load in few bytes; ``key`` is a hash of its instance and whether it takes work."""

    key: int
    running: int
    waiting: int
    poll_age_ms: int
    report_age_ms: int


class HostListChange(NamedTuple):
    """A row of the host list that changed, read ``age_ms`` ago."""

    address: str
    service: str
    zone: str
    leaving: bool
    present: bool
    age_ms: int


class CrashRow(NamedTuple):
    """That a run of a call ended with its target, and when.

    ``digest`` stands for the call, ``target`` for one start of a target, and ``node`` saw the end.
    Without a ``target`` the call was answered; without a ``digest`` the target ended by itself.
    """

    digest: bytes
    target: str
    node: str
    begun_age_ms: int
    ended_age_ms: int


class Message(NamedTuple):
    """One datagram; the first of ``rows`` is the sender's own.

    ``nonce`` ties an ACK to the PING that it answers. ``probe_address`` is the
    peer address that a PING_REQ wants probed. ``known_member_count`` is how many live members the
    sender knows, so that one who knows few is told of more.
    """

    kind: MessageKind
    nonce: int
    probe_address: str
    known_member_count: int
    rows: Sequence[MemberRow]
    deaths: Sequence[Death] = ()
    targets: Sequence[TargetRow] = ()
    loads: Sequence[TargetLoad] = ()
    host_list_changes: Sequence[HostListChange] = ()
    crashes: Sequence[CrashRow] = ()


class Outgoing(NamedTuple):
    """A message and the peer address that it goes to."""

    address: str
    message: Message
