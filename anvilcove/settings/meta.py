"""Annotations for settings fields: description, unit and bounds."""

from msgspec import Meta


def description(meaning: str) -> Meta:
    """Describe a field without bounds."""
    return Meta(description=meaning)


def required_text(meaning: str) -> Meta:
    """Describe a text field that must not be empty."""
    return Meta(min_length=1, description=meaning)


def quantity(meaning: str, unit: str, minimum: int = 1) -> Meta:
    """Describe a number field with its unit and lower bound."""
    return Meta(ge=minimum, description=meaning, extra={'unit': unit})


def milliseconds(meaning: str) -> Meta:
    """Describe a positive duration in milliseconds."""
    return quantity(meaning, 'ms')


def share(meaning: str) -> Meta:
    """Describe a ratio between 0 and 1, bounds included."""
    return Meta(ge=0, le=1, description=meaning, extra={'unit': 'share'})
