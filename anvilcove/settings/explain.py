"""List every settings key with unit, default and meaning."""

from collections.abc import Iterator
from typing import Any

from msgspec import inspect

from anvilcove.settings.check import (
    default_text,
    describe,
    plain_type,
    type_info,
)


def explain(kind: Any) -> list[str]:
    """Return one line per key: path, values, default, unit, meaning."""
    return list(_lines(plain_type(type_info(kind)), ''))


def _lines(info: inspect.Type, prefix: str) -> Iterator[str]:
    if isinstance(info, inspect.ListType):
        yield from _lines(plain_type(info.item_type), f'{prefix}[]')
    elif isinstance(info, inspect.UnionType):
        for member in info.types:
            if isinstance(member, inspect.StructType):
                yield from _lines(member, f'{prefix}({member.tag})')
    elif isinstance(info, inspect.StructType):
        for described in info.fields:
            yield from _field_lines(described, prefix)


def _field_lines(described: inspect.Field, prefix: str) -> Iterator[str]:
    path = f'{prefix}.{described.encode_name}'.lstrip('.')
    plain = plain_type(described.type)
    if isinstance(
        plain, inspect.StructType | inspect.ListType | inspect.UnionType
    ):
        yield from _lines(plain, path)
        return
    meaning, unit = _described(described.type)
    unit_text = f' [{unit}]' if unit else ''
    yield (
        f'{path}: {describe(plain)}{unit_text}; '
        f'default {default_text(described)}; {meaning}'
    )


def _described(info: inspect.Type) -> tuple[str, str]:
    if not isinstance(info, inspect.Metadata):
        return '', ''
    schema = info.extra_json_schema or {}
    return schema.get('description', ''), (info.extra or {}).get('unit', '')
