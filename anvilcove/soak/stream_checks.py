"""Checks of the streams that callers of a soak run have read."""

from anvilcove.platform.standin import event_count
from anvilcove.soak.answer_faults import SILENT_STREAMS
from anvilcove.soak.site import STREAM_TIMEOUT_MS, FaultPeriod, LoopbackSite
from anvilcove.soak.streams import StreamRecord, StreamTry

TWO_VERSIONS = 'servers of two versions'
HOSTS_CUT = 'hosts cut from all servers'
# Time after a fault in which no time bound holds.
CONTACT_S = 3.0
# Least number of resumed streams for which their share is compared.
MIN_RESUMED = 12
MIN_SHARE = 0.5
# Time after the timeout of a route within which an answer must be final; the
# rule of the users, and the same again for a busy machine.
TIMEOUT_SLACK_S = 1.0


def check_streams(
    site: LoopbackSite, streams: list[StreamRecord]
) -> list[str]:
    """Return a line for each violated guarantee of a stream."""
    violations = []
    for record in streams:
        if not record.events:
            continue
        subject = record.first_request
        violations += [
            f'order: {subject} ends as complete with {a.tail[:40]!r}'
            for a in record.tries
            if a.tail
        ]
        numbers = [event.number for event in record.events]
        if numbers != list(range(1, len(numbers) + 1)):
            violations.append(f'order: {subject} has the events {numbers}')
            continue
        if any(
            event.data != f'{subject}:{event.number}'
            for event in record.events
        ):
            violations.append(f'order: {subject} has events of others')
        if record.complete and len(numbers) != event_count(subject):
            violations.append(f'order: {subject} is complete and short')
        software = {event.software for event in record.events}
        if len(software) > 1:
            violations.append(
                f'order: {subject} has events of {sorted(software)}'
            )
    return [
        *violations,
        *_check_share(site, streams),
        *check_stream_timeouts(site, streams),
    ]


def check_stream_timeouts(
    site: LoopbackSite, streams: list[StreamRecord]
) -> list[str]:
    """Check that streams end at the timeout of their route.

    Only silent servers may delay them: other faults harm daemons as well.
    """
    others = [p for p in site.fault_periods if p.kind != SILENT_STREAMS]
    limit_s = STREAM_TIMEOUT_MS / 1000 + TIMEOUT_SLACK_S
    return [
        f'configuration: {attempt.daemon} held {attempt.request_id} for'
        f' {attempt.took_s:.1f} s'
        for record in streams
        for attempt in record.tries
        if attempt.took_s > limit_s
        and not _is_disturbed(attempt, others)
        and not any(
            attempt.sent_s <= p.started_s <= attempt.sent_s + attempt.took_s
            for p in others
        )
    ]


def _check_share(site: LoopbackSite, streams: list[StreamRecord]) -> list[str]:
    """Check that resumed streams go on about as often as new ones begin."""
    others = [p for p in site.fault_periods if p.kind != TWO_VERSIONS]
    calm = [
        attempt
        for record in streams
        for attempt in record.tries
        if not _is_disturbed(attempt, others)
    ]
    resumed = [attempt for attempt in calm if attempt.resumed]
    new = [attempt for attempt in calm if not attempt.resumed]
    if len(resumed) < MIN_RESUMED or not new:
        return []
    resumed_share = sum(a.status == 200 for a in resumed) / len(resumed)
    new_share = sum(a.status == 200 for a in new) / len(new)
    if resumed_share >= MIN_SHARE * new_share:
        return []
    return [
        f'lost: {resumed_share:.2f} of {len(resumed)} resumed streams went on,'
        f' {new_share:.2f} of the new ones began'
    ]


def _is_disturbed(attempt: StreamTry, periods: list[FaultPeriod]) -> bool:
    return any(
        p.started_s <= attempt.sent_s <= p.ended_s + CONTACT_S for p in periods
    )
