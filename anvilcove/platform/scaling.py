"""Decode the bounds on the size of a service."""

from math import isfinite
from typing import Any

from loguru import logger

from anvilcove.state.size_bounds import SizeBounds

DEFAULT_BOOT_S = 4.0
# A longer boot time than this has no other effect.
MAX_BOOT_S = 3600.0


def decode_size_bounds(service: str, scaling: Any) -> SizeBounds | None:
    """Decode bounds, None if there are none or they contradict each other.

    A service without bounds is never touched. Invalid prices are ignored.
    """
    if scaling is None:
        return None
    log = logger.bind(service=service)
    if not isinstance(scaling, dict):
        log.warning('scaling ignored: not an object')
        return None
    least, most = _count(scaling.get('min', 0)), _count(scaling.get('max'))
    if least is None or most is None or least > most:
        log.bind(scaling=str(scaling)[:200]).warning(
            'scaling ignored: invalid bounds'
        )
        return None
    boot_s = _number(scaling.get('boot-s'))
    if boot_s is None or boot_s < 0:
        log.warning('invalid boot time ignored')
        boot_s = DEFAULT_BOOT_S
    fraction = _number(scaling.get('preemptible-price'))
    if fraction is None or fraction <= 0:
        # Without a lower price, reclaimable engines are no gain.
        fraction = 1.0
    return SizeBounds(
        minimum=least,
        maximum=most,
        boot_s=min(boot_s, MAX_BOOT_S),
        reclaimable_price=fraction,
        price_by_data_centre=_decode_prices(service, scaling),
    )


def _decode_prices(service: str, scaling: dict[str, Any]) -> dict[str, float]:
    prices = scaling.get('zone-prices')
    found = {}
    for name, value in prices.items() if isinstance(prices, dict) else ():
        price = _number(value)
        if price is not None and price > 0:
            found[str(name)] = price
        else:
            logger.bind(service=service, data_centre=str(name)).warning(
                'invalid price ignored'
            )
    return found


def _count(value: Any) -> int | None:
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value if value >= 0 else None


def _number(value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        number = float(value)
    except OverflowError:
        return None
    return number if isfinite(number) else None
