"""Checks of what items run with, whatever they list."""

import hashlib

from anvilcove.platform.standin import SMUGGLED_ID
from anvilcove.soak.callers import Callers
from anvilcove.soak.site import LoopbackSite


def check_items(site: LoopbackSite, callers: Callers) -> list[str]:
    """Check the bodies and headers with which engines ran the items."""
    digest_by_id = {
        item: hashlib.sha256(job.body(item)).hexdigest()[:8]
        for job in callers.jobs
        for item in job.item_ids
        if any(job.headers) or job.body_bytes
    }
    violations = []
    for engine in site.engines:
        for attempt, _, digest in engine.runs:
            if attempt == SMUGGLED_ID:
                violations.append(f'unasked: {engine.name} ran what none sent')
            elif digest_by_id.get(attempt, digest) != digest:
                violations.append(f'unasked: the body of {attempt}')
    for server in [*site.engines, *site.servers]:
        violations += [
            f'unasked: {attempt} had a header of the service twice'
            for attempt in server.ambiguous_calls
        ]
    return violations
