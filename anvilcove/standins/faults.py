"""Fault switches that every stand-in shares."""

from typing import Any

from aiohttp import web

FAULTS = web.AppKey('faults', dict[str, Any])


async def set_faults(request: web.Request) -> web.Response:
    """Merge switches from the body; a null value turns a switch off."""
    faults = request.app[FAULTS]
    for name, value in (await request.json()).items():
        if value is None:
            faults.pop(name, None)
        else:
            faults[name] = value
    return web.json_response(faults)


def add_fault_route(app: web.Application) -> dict[str, Any]:
    """Serve `PUT /faults` and return the switches."""
    app[FAULTS] = {}
    app.router.add_put('/faults', set_faults)
    return app[FAULTS]
