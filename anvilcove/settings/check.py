"""Validate plain data against a type and report every violation."""

import difflib
from collections.abc import Iterator
from functools import cache
from typing import Any

from msgspec import NODEFAULT, inspect

MAX_SHOWN_LENGTH = 60


class Violation:
    """Value that its type forbids: path, value found, values allowed."""

    __slots__ = ('path', 'found', 'allowed')

    def __init__(self, path: str, found: str, allowed: str) -> None:
        """Store path, value found and values allowed, as text."""
        self.path = path
        self.found = found
        self.allowed = allowed

    def __str__(self) -> str:
        """Return the error message, one line."""
        return f'{self.path}: found {self.found}, allowed: {self.allowed}'


@cache
def type_info(kind: Any) -> inspect.Type:
    """Return the msgspec description of a type, cached."""
    return inspect.type_info(kind)


def find_violations(data: Any, kind: Any, path: str = '') -> list[Violation]:
    """Return all violations of a type by data; `path` names its root."""
    return list(_check_value(data, type_info(kind), path or 'document'))


def unwrap_metadata(info: inspect.Type) -> inspect.Type:
    """Return the type inside msgspec metadata."""
    return info.type if isinstance(info, inspect.Metadata) else info


def _check_value(
    data: Any, info: inspect.Type, path: str
) -> Iterator[Violation]:
    info = unwrap_metadata(info)
    if isinstance(info, inspect.StructType):
        yield from _check_struct(data, info, path)
    elif isinstance(info, inspect.UnionType):
        yield from _check_union(data, info, path)
    elif isinstance(info, inspect.ListType):
        yield from _check_list(data, info, path)
    elif not _scalar_fits(data, info):
        yield Violation(path, format_value(data), describe_allowed(info))


def _check_list(
    data: Any, info: inspect.ListType, path: str
) -> Iterator[Violation]:
    if not isinstance(data, list):
        yield Violation(path, format_value(data), 'a list')
        return
    for index, item in enumerate(data):
        yield from _check_value(item, info.item_type, f'{path}[{index}]')


def _check_struct(
    data: Any, info: inspect.StructType, path: str
) -> Iterator[Violation]:
    if not isinstance(data, dict):
        yield Violation(path, format_value(data), 'a mapping')
        return
    fields = {f.encode_name: f for f in info.fields}
    for key, value in data.items():
        if key in fields:
            yield from _check_value(value, fields[key].type, f'{path}.{key}')
        elif key != info.tag_field:
            yield Violation(
                f'{path}.{key}', 'an unknown key', _suggest_key(key, info)
            )
    for name, described in fields.items():
        if described.required and name not in data:
            allowed = describe_allowed(unwrap_metadata(described.type))
            yield Violation(f'{path}.{name}', 'nothing', allowed)


def _check_union(
    data: Any, info: inspect.UnionType, path: str
) -> Iterator[Violation]:
    by_tag = {
        t.tag: t for t in info.types if isinstance(t, inspect.StructType)
    }
    tag_field = next(iter(by_tag.values())).tag_field
    if not isinstance(data, dict):
        yield Violation(path, format_value(data), 'a mapping')
        return
    tag = data.get(tag_field)
    if isinstance(tag, str) and tag in by_tag:
        yield from _check_struct(data, by_tag[tag], path)
    else:
        found = 'nothing' if tag is None else format_value(tag)
        tags = ', '.join(str(known) for known in by_tag)
        yield Violation(f'{path}.{tag_field}', found, f'one of {tags}')


def _scalar_fits(data: Any, info: inspect.Type) -> bool:
    if isinstance(info, inspect.BoolType):
        return isinstance(data, bool)
    if isinstance(info, inspect.IntType):
        number = isinstance(data, int) and not isinstance(data, bool)
        return number and _in_range(data, info)
    if isinstance(info, inspect.FloatType):
        number = isinstance(data, int | float) and not isinstance(data, bool)
        return number and _in_range(data, info)
    if isinstance(info, inspect.LiteralType):
        return data in info.values
    if isinstance(info, inspect.StrType):
        return isinstance(data, str) and len(data) >= (info.min_length or 0)
    return True


def _in_range(data: float, info: inspect.IntType | inspect.FloatType) -> bool:
    return (
        (info.gt is None or data > info.gt)
        and (info.ge is None or data >= info.ge)
        and (info.le is None or data <= info.le)
    )


def describe_allowed(info: inspect.Type) -> str:
    """Return a phrase for the values that a type allows."""
    if isinstance(info, inspect.IntType | inspect.FloatType):
        word = 'integer' if isinstance(info, inspect.IntType) else 'number'
        bounds = [
            f'{sign} {bound:g}'
            for sign, bound in (
                ('>', info.gt),
                ('>=', info.ge),
                ('<=', info.le),
            )
            if bound is not None
        ]
        return ' '.join([word, ' and '.join(bounds)]).strip()
    if isinstance(info, inspect.LiteralType):
        return 'one of ' + ', '.join(str(value) for value in info.values)
    if isinstance(info, inspect.StrType):
        return 'non-empty text' if info.min_length else 'text'
    if isinstance(info, inspect.BoolType):
        return 'true or false'
    if isinstance(info, inspect.ListType):
        return 'a list'
    return 'a mapping'


def format_value(data: Any) -> str:
    """Return the representation of a value, truncated for messages."""
    text = repr(data)
    return (
        text
        if len(text) <= MAX_SHOWN_LENGTH
        else f'{text[:MAX_SHOWN_LENGTH]}...'
    )


def default_text(described: inspect.Field) -> str:
    """Return the default of a field as text.

    Return `required` for a required field and `-` for a default factory.
    """
    if described.required or described.default is NODEFAULT:
        return 'required' if described.required else '-'
    return str(described.default) or "''"


def _suggest_key(key: Any, info: inspect.StructType) -> str:
    names = [f.encode_name for f in info.fields]
    near = difflib.get_close_matches(str(key), names, 1, 0.5)
    if near:
        return f'did you mean {near[0]}?'
    return 'one of ' + ', '.join(names)
