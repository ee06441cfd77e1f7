"""List the keys of a settings type with unit, default and meaning."""

from collections.abc import Iterator
from typing import Any

from msgspec import inspect

from anvilcove.settings.check import (
    default_text,
    describe_allowed,
    type_info,
    unwrap_metadata,
)


def explain(kind: Any) -> list[str]:
    """Return a line per key: path, allowed values, unit, default, meaning."""
    return list(_lines(unwrap_metadata(type_info(kind)), ''))


def _lines(info: inspect.Type, prefix: str) -> Iterator[str]:
    if isinstance(info, inspect.ListType):
        yield from _lines(unwrap_metadata(info.item_type), f'{prefix}[]')
    elif isinstance(info, inspect.UnionType):
        for member in info.types:
            if isinstance(member, inspect.StructType):
                yield from _lines(member, f'{prefix}({member.tag})')
    elif isinstance(info, inspect.StructType):
        for described in info.fields:
            yield from _field_lines(described, prefix)


def _field_lines(described: inspect.Field, prefix: str) -> Iterator[str]:
    path = f'{prefix}.{described.encode_name}'.lstrip('.')
    plain = unwrap_metadata(described.type)
    nested = inspect.StructType | inspect.ListType | inspect.UnionType
    inner: inspect.Type = plain
    if isinstance(plain, inspect.ListType):
        inner = unwrap_metadata(plain.item_type)
    if isinstance(inner, nested):
        yield from _lines(plain, path)
        return
    meaning, unit = _meaning_and_unit(described.type)
    unit_text = f' [{unit}]' if unit else ''
    yield (
        f'{path}: {describe_allowed(plain)}{unit_text}; '
        f'default {default_text(described)}; {meaning}'
    )


def _meaning_and_unit(info: inspect.Type) -> tuple[str, str]:
    if not isinstance(info, inspect.Metadata):
        return '', ''
    schema = info.extra_json_schema or {}
    return schema.get('description', ''), (info.extra or {}).get('unit', '')
