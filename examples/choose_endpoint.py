"""Choose endpoints with a routing policy, without a daemon."""

import random

from anvilcove.decisions.routing import LeastExpectedWait
from anvilcove.decisions.types import INTERACTIVE, Route, RouteRequest
from anvilcove.messages.membership import SERVICE, EndpointMember
from anvilcove.settings.daemon import (
    AdapterSettings,
    DaemonSettings,
    KeySettings,
    PlatformSettings,
)
from anvilcove.state.endpoints import EndpointView

UNUSED_ADAPTER = AdapterSettings(address='127.0.0.1:1')
SETTINGS = DaemonSettings(
    host='h1',
    data_centre='casa-ain',
    listen_address='127.0.0.1:0',
    platform=PlatformSettings(
        table=UNUSED_ADAPTER,
        objects=UNUSED_ADAPTER,
        weights=UNUSED_ADAPTER,
        membership=UNUSED_ADAPTER,
    ),
    keys=KeySettings(peer='p', operator='o'),
)


def main():
    """Print how many of 100 requests each of four endpoints gets."""
    view = EndpointView()
    view.update(
        [
            EndpointMember(
                endpoint=f'account-app-{number}',
                address=f'127.0.0.1:{number}',
                data_centre='casa-ain',
                pool='account-app',
                kind=SERVICE,
            )
            for number in range(1, 5)
        ]
    )
    router = LeastExpectedWait(SETTINGS)
    rng = random.Random(1)
    counts = dict.fromkeys(view.by_id, 0)
    for number in range(100):
        request = RouteRequest(
            request_id=f'h1.{number}',
            class_name='lookup',
            kind=INTERACTIVE,
            pool='account-app',
        )
        route = router.choose(number * 0.01, request, view, rng)
        assert isinstance(route, Route)
        counts[route.endpoint] += 1
    print(counts)


if __name__ == '__main__':
    main()
