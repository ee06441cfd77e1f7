"""API key that callers and trainers send as a bearer token."""

from pathlib import Path


class ApiKey:
    """Key of a workspace; its text never appears in logs and errors."""

    __slots__ = ('_text',)

    def __init__(self, text: str) -> None:
        """Store the key; raise ValueError if it can't be sent in a header.

        Spaces and line breaks at its ends are removed.
        """
        text = text.strip()
        # The error must not show the text, nor may that of the HTTP library.
        if not text or not text.isprintable():
            raise ValueError('an API key is one line of printable text')
        self._text = text

    def __repr__(self) -> str:
        """Return a text without the key."""
        return 'ApiKey(...)'

    def headers(self) -> dict[str, str]:
        """Return the header that carries the key."""
        return {'Authorization': f'Bearer {self._text}'}


def read_key(path: Path) -> ApiKey:
    """Read a key from a file, so that it is not in the process list.

    Raise OSError if the file can't be read, ValueError if it holds no key.
    """
    try:
        return ApiKey(path.read_text())
    except UnicodeDecodeError:
        # Its message and its cause hold the bytes of the file.
        raise ValueError(f'{path} holds no API key') from None
    except ValueError as error:
        raise ValueError(f'{path}: {error}') from None


def key_headers(key: ApiKey | None) -> dict[str, str]:
    """Return the headers of a call with a key, none without one."""
    return {} if key is None else key.headers()
