"""The exceptions that a missing or malformed response of the platform raises."""

from typing import Final

import aiohttp

from .._decoding import MALFORMED_INPUT_ERRORS

RESPONSE_ERRORS: Final = (
    aiohttp.ClientError,
    TimeoutError,
    ConnectionError,
    *MALFORMED_INPUT_ERRORS,
)
"""Raised by a request without a response, or by decoding a malformed one.

A proxy in between may answer in the platform's place. An exception that is missing here would stop
the calling controller instead of failing one request.
"""
