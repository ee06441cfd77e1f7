"""Errors of calls over HTTP, whatever the answer."""

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError

# What a call raises that was connected and has no sound answer. The parser
# raises the second and the last one for malformed heads, lengths and lines.
CALL_ERRORS = (ClientError, HttpProcessingError, OSError, ValueError)
