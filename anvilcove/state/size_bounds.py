"""Bounds that operators set on the size of a service."""

from msgspec import Struct, field

# Price per second of an engine where none is declared.
DEFAULT_PRICE = 1.0


class SizeBounds(Struct, frozen=True):
    """Bounds on the engines of a service and what they cost.

    `minimum` and `maximum` bound the engines in a data centre, both kinds
    together. `boot_s` is the time in seconds until a new engine serves.
    `reclaimable_price` is a fraction of the price of reserved engines, which
    `price_by_data_centre` gives per second.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float = 1.0
    price_by_data_centre: dict[str, float] = field(default_factory=dict)

    def price(self, data_centre: str, reclaimable: bool) -> float:
        """Return the price of an engine per second.

        An undeclared data centre costs as much as the most expensive one.
        """
        prices = self.price_by_data_centre
        highest = max(prices.values(), default=DEFAULT_PRICE)
        factor = self.reclaimable_price if reclaimable else 1.0
        return prices.get(data_centre, highest) * factor
