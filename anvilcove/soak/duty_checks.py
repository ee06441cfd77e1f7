"""Checks of the calls that one daemon at a time makes."""

from itertools import pairwise
from typing import Any

from anvilcove.platform.standin_duties import SCALE_PATH, DutyCall
from anvilcove.soak.site import DUTY_LEASE_S, LoopbackSite

# Calls within this time after a process resumes are no violation.
THAW_S = 0.3
PAUSES = (
    'daemon paused',
    'daemon without processor',
    'daemons paused while rows change',
    'holder of the usage paused',
)


def check_duties(site: LoopbackSite) -> list[str]:
    """Check reports, tokens and the order of holders."""
    calls = [call for call in site.duties.calls if call.path == '/usage']
    return [
        *_check_single_reports(calls),
        *_check_tokens(site, calls),
        *_check_orders(site),
        *_check_throttling(site),
        *_check_presence(site, calls),
    ]


def _check_single_reports(calls: list[DutyCall]) -> list[str]:
    """Check that no window has two reports with different counts."""
    counts_by_window: dict[Any, object] = {}
    violations = []
    for call in calls:
        window, counts = call.body['window-id'], call.body['counts']
        known = counts_by_window.setdefault(window, counts)
        if known != counts:
            violations.append(f'usage: window {window} has two reports')
    return violations


def _check_tokens(site: LoopbackSite, calls: list[DutyCall]) -> list[str]:
    """Check that tokens never go down and holders do not alternate."""
    violations = []
    last_by_holder: dict[str, float] = {}
    for before, call in pairwise(calls):
        last_by_holder[before.holder] = before.at_s
        if _is_exempt(site, call):
            continue
        if call.fence < before.fence or (
            call.fence == before.fence and call.holder != before.holder
        ):
            violations.append(
                f'duty: {call.holder} sent {call.fence} after {before.fence}'
            )
        returned_s = call.at_s - last_by_holder.get(call.holder, call.at_s)
        if call.holder != before.holder and 0 < returned_s < DUTY_LEASE_S:
            violations.append(
                f'duty: {call.holder} after {before.holder}, and '
                f'{returned_s:.2f} s after its own call'
            )
    return violations


def _check_orders(site: LoopbackSite) -> list[str]:
    """Check the tokens of the orders to each data centre."""
    by_subject: dict[object, list[DutyCall]] = {}
    for call in site.duties.calls:
        if call.path == SCALE_PATH:
            subject = call.body['service'], call.body['zone']
            by_subject.setdefault(subject, []).append(call)
    return [
        line
        for calls in by_subject.values()
        for line in _check_tokens(site, calls)
    ]


def _is_exempt(site: LoopbackSite, call: DutyCall) -> bool:
    return any(
        period.kind in PAUSES
        and period.started_s <= call.at_s <= period.ended_s + THAW_S
        for period in site.fault_periods
    )


def _check_throttling(site: LoopbackSite) -> list[str]:
    if not site.duties.throttled:
        return []
    return [f'duty: {site.duties.throttled} calls over the rate']


def _check_presence(site: LoopbackSite, calls: list[DutyCall]) -> list[str]:
    """Check that a run of some length without faults has reports."""
    if site.fault_periods or site.age_s() < 20.0 or calls:
        return []
    return ['usage: no window was reported']
