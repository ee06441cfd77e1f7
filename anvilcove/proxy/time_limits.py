"""Time in which requests have to be answered."""

from anvilcove.control.desired import JOB, Route
from anvilcove.ports.servers import CallerRequest

# A job submission is answered within this multiple of its route's objective if
# the store calls end in time; after it the trainer tries another daemon.
ACCEPT_TIMEOUT_FACTOR = 2.5


def answer_limit_s(route: Route) -> float:
    """Return the longest time in which a request is answered, in seconds.

    It covers every wait: for room, for a slot, for the head of an answer and
    for its last byte. Items of jobs have a lifetime of their own.
    """
    if route.kind == JOB:
        return min(route.objective_s * ACCEPT_TIMEOUT_FACTOR, route.timeout_s)
    return route.timeout_s


def answer_limit_at_s(request: CallerRequest, route: Route) -> float:
    """Return the time until which a request has to be answered."""
    return request.received_s + answer_limit_s(route)
