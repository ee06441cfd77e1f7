"""Descriptions, units and bounds that stand beside the keys."""

from msgspec import Meta


def text(meaning: str) -> Meta:
    """Describe a text that may be empty."""
    return Meta(description=meaning)


def name(meaning: str) -> Meta:
    """Describe a text that may not be empty."""
    return Meta(min_length=1, description=meaning)


def amount(meaning: str, unit: str, least: int = 1) -> Meta:
    """Describe a number with its unit and lower bound."""
    return Meta(ge=least, description=meaning, extra={'unit': unit})


def milliseconds(meaning: str) -> Meta:
    """Describe a positive time."""
    return amount(meaning, 'ms')


def share(meaning: str) -> Meta:
    """Describe a share between 0 and 1."""
    return Meta(ge=0, le=1, description=meaning, extra={'unit': 'share'})
