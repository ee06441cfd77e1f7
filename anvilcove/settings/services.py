"""Declarations of services: whether their size follows the demand."""

from typing import Annotated, Any, Literal

from msgspec import Meta

from anvilcove.messages.base import Message
from anvilcove.settings.check import Violation, find_violations, format_value
from anvilcove.settings.meta import description, quantity, required_text

FIXED = 'fixed'
DEMAND = 'demand'
MAX_BOOT_S = 3600
# The own interface has no port that orders endpoints. On the users' platform,
# `scaling` in the desired state does what `demand` asks for.
CANNOT_ORDER = f'{FIXED}, as nothing can order endpoints in the own interface'


class ServiceDeclaration(Message):
    """Size of a service, which is a pool of endpoints.

    The bounds are those of each data centre.
    """

    name: Annotated[str, required_text('Pool of endpoints.')]
    sizing: Annotated[
        Literal['fixed', 'demand'],
        description('Whether the number of endpoints follows the demand.'),
    ] = 'fixed'
    minimum: Annotated[
        int, quantity('Fewest endpoints in a data centre.', 'endpoints', 0)
    ] = 0
    maximum: Annotated[
        int, quantity('Most endpoints in a data centre.', 'endpoints', 0)
    ] = 0
    boot_s: Annotated[
        float,
        Meta(
            ge=0,
            le=MAX_BOOT_S,
            description='Time until a new endpoint serves.',
            extra={'unit': 's'},
        ),
    ] = 0.0
    reclaimable_price: Annotated[
        float,
        Meta(
            gt=0,
            le=1,
            description='Price of endpoints that may be reclaimed, as a part '
            'of the price of others.',
        ),
    ] = 1.0


def find_service_violations(
    data: dict[str, Any], path: str
) -> list[Violation]:
    """Return what the types of the `services` of a document don't show."""
    items = data.get('services')
    if not isinstance(items, list):
        return []
    pools = _pools(data.get('classes'))
    violations = []
    for index, item in enumerate(items):
        place = f'{path}.services[{index}]'
        # Values of wrong types have violations already.
        if not find_violations(item, ServiceDeclaration, place):
            violations += _find_bound_violations(item, place)
            violations += _find_unknown_pool(item['name'], place, pools)
    if any(_sizing(item) == DEMAND for item in items):
        names = [i.get('name') for i in items if _sizing(i) == DEMAND]
        found = f'{DEMAND} for {format_value(names)}'
        violations.append(
            Violation(f'{path}.services.sizing', found, CANNOT_ORDER)
        )
    return violations


def _sizing(item: Any) -> Any:
    return item.get('sizing') if isinstance(item, dict) else None


def _find_bound_violations(
    item: dict[str, Any], place: str
) -> list[Violation]:
    minimum, maximum = item.get('minimum', 0), item.get('maximum', 0)
    violations = []
    bounded = _sizing(item) == DEMAND
    if bounded and not maximum:
        allowed = f'integer >= 1 with sizing {DEMAND}'
        violations.append(
            Violation(f'{place}.maximum', format_value(maximum), allowed)
        )
    elif minimum > maximum:
        allowed = f'at most the maximum, {maximum}'
        violations.append(
            Violation(f'{place}.minimum', format_value(minimum), allowed)
        )
    if bounded and not item.get('boot_s'):
        allowed = f'number > 0 with sizing {DEMAND}'
        violations.append(
            Violation(
                f'{place}.boot_s', format_value(item.get('boot_s', 0)), allowed
            )
        )
    return violations


def _find_unknown_pool(
    name: str, place: str, pools: list[str]
) -> list[Violation]:
    if name in pools:
        return []
    allowed = 'a pool of a class: ' + ', '.join(pools)
    return [Violation(f'{place}.name', format_value(name), allowed)]


def _pools(classes: Any) -> list[str]:
    """Return the pools that the classes name, in their order."""
    found = [
        item.get('pool')
        for item in (classes if isinstance(classes, list) else [])
        if isinstance(item, dict)
    ]
    return list(dict.fromkeys(p for p in found if isinstance(p, str)))
