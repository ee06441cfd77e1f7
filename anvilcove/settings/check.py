"""Check plain data against a type and report every error."""

import difflib
from collections.abc import Iterator
from functools import cache
from typing import Any

from msgspec import NODEFAULT, inspect

SHORT = 60


class Fault:
    """One error: where, what was found and what is allowed."""

    __slots__ = ('path', 'found', 'allowed')

    def __init__(self, path: str, found: str, allowed: str) -> None:
        """Keep the facts of one line."""
        self.path = path
        self.found = found
        self.allowed = allowed

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f'{self.path}: found {self.found}, allowed: {self.allowed}'


@cache
def type_info(kind: Any) -> inspect.Type:
    """Return the description of a type."""
    return inspect.type_info(kind)


def find_faults(data: Any, kind: Any, path: str = '') -> list[Fault]:
    """Return every error of data against a type."""
    return list(_walk(data, type_info(kind), path or 'document'))


def plain_type(info: inspect.Type) -> inspect.Type:
    """Return a type without its description."""
    return info.type if isinstance(info, inspect.Metadata) else info


def _walk(data: Any, info: inspect.Type, path: str) -> Iterator[Fault]:
    info = plain_type(info)
    if isinstance(info, inspect.StructType):
        yield from _walk_struct(data, info, path)
    elif isinstance(info, inspect.UnionType):
        yield from _walk_union(data, info, path)
    elif isinstance(info, inspect.ListType):
        yield from _walk_list(data, info, path)
    elif not _scalar_fits(data, info):
        yield Fault(path, show(data), describe(info))


def _walk_list(
    data: Any, info: inspect.ListType, path: str
) -> Iterator[Fault]:
    if not isinstance(data, list):
        yield Fault(path, show(data), 'a list')
        return
    for index, item in enumerate(data):
        yield from _walk(item, info.item_type, f'{path}[{index}]')


def _walk_struct(
    data: Any, info: inspect.StructType, path: str
) -> Iterator[Fault]:
    if not isinstance(data, dict):
        yield Fault(path, show(data), 'a mapping')
        return
    fields = {f.encode_name: f for f in info.fields}
    for key, value in data.items():
        if key in fields:
            yield from _walk(value, fields[key].type, f'{path}.{key}')
        elif key != info.tag_field:
            yield Fault(f'{path}.{key}', 'an unknown key', _nearest(key, info))
    for name, described in fields.items():
        if described.required and name not in data:
            allowed = describe(plain_type(described.type))
            yield Fault(f'{path}.{name}', 'nothing', allowed)


def _walk_union(
    data: Any, info: inspect.UnionType, path: str
) -> Iterator[Fault]:
    by_tag = {
        t.tag: t for t in info.types if isinstance(t, inspect.StructType)
    }
    tag_field = next(iter(by_tag.values())).tag_field
    if not isinstance(data, dict):
        yield Fault(path, show(data), 'a mapping')
        return
    tag = data.get(tag_field)
    if isinstance(tag, str) and tag in by_tag:
        yield from _walk_struct(data, by_tag[tag], path)
    else:
        found = 'nothing' if tag is None else show(tag)
        tags = ', '.join(str(known) for known in by_tag)
        yield Fault(f'{path}.{tag_field}', found, f'one of {tags}')


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


def describe(info: inspect.Type) -> str:
    """Return what a type allows, in words."""
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


def show(data: Any) -> str:
    """Return a value as it is named in an error."""
    text = repr(data)
    return text if len(text) <= SHORT else f'{text[:SHORT]}...'


def default_text(described: inspect.Field) -> str:
    """Return the default of a field in words."""
    if described.required or described.default is NODEFAULT:
        return 'required' if described.required else '-'
    return str(described.default) or "''"


def _nearest(key: Any, info: inspect.StructType) -> str:
    names = [f.encode_name for f in info.fields]
    near = difflib.get_close_matches(str(key), names, 1, 0.5)
    if near:
        return f'did you mean {near[0]}?'
    return 'one of ' + ', '.join(names)
