"""JSON whose values are nested more deeply than parsers can follow."""

import re

MAX_DEPTH = 64
# Strings, in which brackets are text, and brackets.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def prune_nesting(data: bytes, max_depth: int = MAX_DEPTH) -> bytes:
    """Return JSON with null in place of values nested below a depth.

    One such value would keep a parser from the others. Bytes that are no JSON
    stay such.
    """
    kept = bytearray()
    depth = position = 0
    for token in _TOKEN.finditer(data):
        if token[0] in (b'[', b'{'):
            depth += 1
            if depth == max_depth + 1:
                kept += data[position : token.start()] + b'null'
        elif token[0] in (b']', b'}'):
            if depth == max_depth + 1:
                position = token.end()
            depth -= 1
    return bytes(kept) + (data[position:] if depth <= max_depth else b'')
