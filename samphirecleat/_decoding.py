"""Decoding of bytes from elsewhere: whatever is wrong with them becomes one error.

Decoders raise many types of errors for malformed input, and not all of them are ``ValueError``:
deeply nested JSON raises ``RecursionError``, a number that no float can hold ``OverflowError``. An
error type that a reader doesn't expect ends the reader, so every decoder of the package converts
them here.
"""

import json
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from ipaddress import IPv4Address, IPv6Address
from typing import Any, Final

import msgspec

MALFORMED_INPUT_ERRORS: Final = (
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    ArithmeticError,
    EOFError,
    RecursionError,
    zlib.error,
)
"""Everything that malformed input makes a decoder raise; msgspec's errors are ``ValueError``."""

# Part of an error's text that is kept: some errors repeat the input, which may be a megabyte.
MAX_DETAIL_CHARS: Final = 200
# Integers on the wire fit into 63 bits; larger ones can neither be encoded nor become a float.
MAX_INTEGER: Final = (1 << 63) - 1
MAX_PORT: Final = 65_535
_MAX_DIGITS: Final = 18
_JSON_DECODER: Final = msgspec.json.Decoder()


class MalformedError(ValueError):
    """Input from elsewhere can't be decoded; the message says which input, and why."""


@contextmanager
def decoding(subject: str) -> Iterator[None]:
    """Decode in this context; ``subject`` names the input.

    :raises MalformedError: in place of whatever malformed input raises.
    """
    try:
        yield
    except MalformedError as error:
        raise MalformedError(f"{subject}: {error}"[:MAX_DETAIL_CHARS]) from error
    except MALFORMED_INPUT_ERRORS as error:
        raise MalformedError(f"{subject}: {error!r}"[:MAX_DETAIL_CHARS]) from error


def decode_json(content: bytes | str) -> Any:
    """Return the value of a JSON document.

    :raises MalformedError: if the content is no JSON document, or is nested too deeply.
    """
    with decoding("JSON"):
        return _JSON_DECODER.decode(content)


def decode_json_with_any_text(content: bytes) -> Any:
    """Return the value of a JSON document whose strings may be no valid text.

    Invalid bytes of a string become U+FFFD, and unpaired surrogates stay: one bad string does not
    make the whole document unreadable.

    :raises MalformedError: if the content is no JSON document, or is nested too deeply.
    """
    try:
        return decode_json(content)
    except MalformedError:
        with decoding("JSON"):
            return json.loads(content.decode("utf-8", "replace"))


def decode_msgpack(decoder: "msgspec.msgpack.Decoder[Any]", content: bytes) -> Any:
    """Return the value of a MessagePack document.

    :raises MalformedError: if the content is malformed or has another type.
    """
    with decoding("MessagePack"):
        return decoder.decode(content)


def parse_whole_number(text: str) -> int | None:
    """Return the integer that consists of ASCII digits only, None if ``text`` is none.

    ``str.isdigit`` also accepts digits such as ``²``, for which ``int`` raises.
    """
    if text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS:
        return int(text)
    return None


def check_integer(value: object, name: str, lowest: int = 0, highest: int = MAX_INTEGER) -> int:
    """Return ``value`` if it is an integer within bounds; booleans are none.

    :raises MalformedError: if it isn't.
    """
    if type(value) is not int or not lowest <= value <= highest:
        detail = repr(value)[:MAX_DETAIL_CHARS]
        raise MalformedError(f"{name}: expected an integer from {lowest}, got {detail}")
    return value


def check_text(value: object, name: str) -> str:
    """Return ``value`` if it is a non-empty string that can be sent in a header.

    :raises MalformedError: if it isn't.
    """
    if not isinstance(value, str) or not value or not value.isprintable():
        detail = repr(value)[:MAX_DETAIL_CHARS]
        raise MalformedError(f"{name}: expected a non-empty printable string, got {detail}")
    return value


def check_address(value: object) -> str:
    """Return ``value`` if it is an IP address with a port; one of IPv6 stands in brackets.

    :raises MalformedError: if it isn't. A host name could not be resolved, and what is no port
        ends the one who connects. The scope of an IPv6 address means something on one host only.
    """
    address = check_text(value, "address")
    host, _, port = address.rpartition(":")
    with decoding(f"address {address!r}"):
        is_bracketed = host.startswith("[") and host.endswith("]") and "%" not in host
        _ = IPv6Address(host[1:-1]) if is_bracketed else IPv4Address(host)
        check_integer(parse_whole_number(port), "port", 1, MAX_PORT)
    return address
