"""The ways in which an answer of the platform can fail to be one."""

from typing import Final

import aiohttp

RESPONSE_ERRORS: Final = (
    aiohttp.ClientError,
    TimeoutError,
    ConnectionError,
    EOFError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
)
"""Raised by a request that gets no answer, or by reading one of another shape.

Something between the two ends may answer in the platform's place; an exception
that is missing here would end the controller that asked, not just the request.
"""
