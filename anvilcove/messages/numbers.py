"""Decimal numbers in the texts of other writers."""

MAX_DIGITS = 18


def parse_decimal(
    text: str | bytes, max_digits: int = MAX_DIGITS
) -> int | None:
    """Return the value of ASCII digits, None for anything else.

    `str.isdigit` and `str.isdecimal` accept characters that `int` rejects or
    that other programs do not read as digits.
    """
    if len(text) > max_digits or not text.isascii() or not text.isdigit():
        return None
    return int(text)
