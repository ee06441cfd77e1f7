"""Error of invalid settings."""


class SettingsError(Exception):
    """Raised for an invalid file; `lines` has one message per error."""

    def __init__(self, lines: list[str]) -> None:
        """Store the messages; they are also the text of the exception."""
        super().__init__('\n'.join(lines))
        self.lines = lines
