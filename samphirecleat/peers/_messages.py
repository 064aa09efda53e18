"""The messages of datagrams between nodes: probes, and the updates piggybacked on them.

Messages carry ages instead of timestamps, since the clocks of hosts differ: the sender
states how long ago something was observed, and the receiver subtracts that from its own
clock. The time on the network makes a row look slightly newer than it is.

The structures are encoded as arrays, so the order and the types of their fields are fixed.
"""

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from ..blackboard import Member


class MessageKind(IntEnum):
    """The purpose of a datagram.

    PING requests an ACK; PING_REQ asks the receiver to ping another process on the sender's
    behalf; UPDATE only carries updates; EXIT announces the exit of the sending process.
    """

    PING = 1
    ACK = 2
    PING_REQ = 3
    UPDATE = 4
    EXIT = 5


class MemberRow(NamedTuple):
    """A member's row, made by the member itself ``age_ms`` ago."""

    member: Member
    age_ms: int


class Death(NamedTuple):
    """A report that a process no longer responds.

    ``silent_for_ms`` is the time since the first probe that it left unanswered.
    ``self_reported`` is set if the process itself announced its exit.
    """

    incarnation: str
    silent_for_ms: int
    self_reported: bool


class TargetRow(NamedTuple):
    """The report of a target; sent if anything other than its load changed.

    ``poll_age_ms`` is the time since a node polled the target, ``report_age_ms`` the time
    since the target measured the load that it reported.
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
    """A target's load in compact form.

    ``key`` is a hash of the target's address, its instance and whether it accepts work.
    """

    key: int
    running: int
    waiting: int
    poll_age_ms: int
    report_age_ms: int


class HostListChange(NamedTuple):
    """A changed row of the host list, read ``age_ms`` ago; not ``present`` if it was removed."""

    address: str
    service: str
    zone: str
    leaving: bool
    present: bool
    age_ms: int


class CrashRow(NamedTuple):
    """A report that a run of a call ended because its target crashed.

    ``digest`` identifies the call, ``target`` one start of a target, and ``node`` the node
    that observed the crash. If ``target`` is empty, the row reports that the call was
    answered; if ``digest`` is empty, that the target ended without a known call.
    """

    digest: bytes
    target: str
    node: str
    begun_age_ms: int
    ended_age_ms: int


class Message(NamedTuple):
    """One datagram; the first of ``rows`` is the sender's own.

    ``nonce`` matches an ACK to its PING. ``probe_address`` is the peer address that a
    PING_REQ asks the receiver to ping. ``known_member_count`` is how many live members the
    sender knows; a receiver that knows many more sends it their rows.
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
    """A message and the peer address to send it to."""

    address: str
    message: Message
