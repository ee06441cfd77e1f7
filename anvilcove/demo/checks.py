"""Check the promises against what endpoints, table and callers recorded."""

from collections import defaultdict
from collections.abc import Callable

from msgspec import Struct, field

from anvilcove.demo.records import (
    BatchRecord,
    CallRecord,
    RevisionRecord,
    RunRecord,
)
from anvilcove.messages.callers import ANSWERED, NOT_RUN

LEAVING_LIMIT_S = 3.0
CONFIGURATION_LIMIT_S = 4.0
# The trainer's library drops a response that arrives later than this after
# its request, so a batch was inside its bound at most this long ago.
DELIVERY_WINDOW_S = 2.0


class Verdict(Struct):
    """Cases of one promise that were checked and that were broken."""

    checked: int = 0
    broken: int = 0
    examples: list[str] = field(default_factory=list)

    def count(self, holds: bool, example: str) -> None:
        """Count one case."""
        self.checked += 1
        if not holds:
            self.broken += 1
            self.examples.append(example)


Check = Callable[[RunRecord], Verdict]
CHECKS: dict[str, Check] = {}


def check(name: str) -> Callable[[Check], Check]:
    """Register the check of a promise."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def check_all(record: RunRecord) -> dict[str, Verdict]:
    """Return the verdict of each promise."""
    return {name: function(record) for name, function in CHECKS.items()}


@check('versions')
def check_versions(record: RunRecord) -> Verdict:
    """Compare the versions that samples name with the engines' journals."""
    verdict = Verdict()
    runs_by_sample = _version_changes(record)
    for batch in record.batches:
        for sample in batch.batch.samples:
            runs = runs_by_sample[sample.sample_id]
            named = [
                (index, part.version)
                for part in sample.versions
                for index in range(part.start, part.end)
            ]
            whole = [i for i, _ in named] == list(range(len(sample.tokens)))
            ran = all(
                any(_version_at(run, index) == version for run in runs)
                for index, version in named
            )
            verdict.count(
                whole and ran and bool(named),
                f'{sample.sample_id} names {sample.versions}',
            )
    return verdict


def _version_changes(
    record: RunRecord,
) -> dict[str, list[list[tuple[int, int]]]]:
    """Return the changes (first token, version) of each run of a sample."""
    by_run: dict[tuple[str, str], list[tuple[int, int]]] = defaultdict(list)
    for line in record.versions:
        by_run[line['endpoint'], line['request_id']].append(
            (line['index'], line['version'])
        )
    by_sample: dict[str, list[list[tuple[int, int]]]] = defaultdict(list)
    for (_, request_id), changes in by_run.items():
        by_sample[request_id.partition('~')[0]].append(changes)
    return by_sample


def _version_at(changes: list[tuple[int, int]], index: int) -> int | None:
    """Return the version that a run had at a token."""
    before = [version for first, version in changes if first <= index]
    return before[-1] if before else None


@check('staleness')
def check_staleness(record: RunRecord) -> Verdict:
    """Compare each batch with the newest version when it was delivered."""
    verdict = Verdict()
    for batch in record.batches:
        at_s = max(
            batch.requested_at_s, batch.received_at_s - DELIVERY_WINDOW_S
        )
        newest = max(
            (
                p.version
                for p in record.publishes
                if p.model == batch.batch.model and p.accepted_at_s <= at_s
            ),
            default=0,
        )
        for sample in batch.batch.samples:
            oldest = min(
                (part.version for part in sample.versions), default=-1
            )
            verdict.count(
                newest - oldest <= batch.bound_versions,
                f'{sample.sample_id}: version {oldest}, newest {newest}',
            )
    return verdict


@check('exactly_once')
def check_exactly_once(record: RunRecord) -> Verdict:
    """Check that every step came once, whole and in order."""
    verdict = Verdict()
    by_trainer: dict[str, list[BatchRecord]] = defaultdict(list)
    for batch in record.batches:
        by_trainer[batch.trainer].append(batch)
    for trainer, batches in by_trainer.items():
        seen: set[str] = set()
        for position, batch in enumerate(batches):
            step = batch.batch.step
            ids = {s.sample_id for s in batch.batch.samples}
            indexes = {(s.group, s.index) for s in batch.batch.samples}
            verdict.count(
                step == position + 1
                and len(indexes) == batch.expected_samples
                and len(ids) == len(batch.batch.samples)
                and not ids & seen,
                f'{trainer} step {step} at position {position + 1}',
            )
            seen |= ids
    return verdict


@check('whole_answers')
def check_whole_answers(record: RunRecord) -> Verdict:
    """Compare each answer with the request that it is for."""
    verdict = Verdict()
    for call in record.calls:
        if call.outcome == ANSWERED:
            verdict.count(_is_whole(call), f'{call.marker}: {call.answer}')
    return verdict


def _is_whole(call: CallRecord) -> bool:
    answer = call.answer or {}
    if 'max_tokens' in call.body:
        tokens = answer.get('tokens', [])
        return bool(len(tokens) == call.body['max_tokens'])
    return bool(answer.get('echo') == call.body)


def _starts_by_marker(record: RunRecord) -> dict[str, list[float]]:
    starts: dict[str, list[float]] = defaultdict(list)
    for line in record.runs:
        marker = line['body'].get('marker')
        if marker is not None:
            starts[marker].append(line['at_s'])
    return starts


@check('not_run')
def check_not_run(record: RunRecord) -> Verdict:
    """Check that a call refused as not run did not run before its refusal."""
    verdict = Verdict()
    starts = _starts_by_marker(record)
    last_refusal: dict[str, float] = {}
    answered = {c.marker for c in record.calls if c.outcome != NOT_RUN}
    for call in record.calls:
        if call.outcome == NOT_RUN:
            last_refusal[call.marker] = max(
                call.ended_at_s, last_refusal.get(call.marker, 0.0)
            )
    for marker, refused_at_s in last_refusal.items():
        limit_s = refused_at_s if marker in answered else float('inf')
        early = [at_s for at_s in starts[marker] if at_s <= limit_s]
        verdict.count(not early, f'{marker} ran {len(early)} times')
    return verdict


@check('at_most_once')
def check_at_most_once(record: RunRecord) -> Verdict:
    """Count the runs of every not-repeatable request."""
    verdict = Verdict()
    starts = _starts_by_marker(record)
    outcomes: dict[str, set[str]] = defaultdict(set)
    for call in record.calls:
        if not call.repeatable:
            outcomes[call.marker].add(call.outcome)
    for marker, names in outcomes.items():
        runs = len(starts[marker])
        holds = runs <= 1 and (ANSWERED not in names or runs == 1)
        verdict.count(holds, f'{marker} ran {runs} times: {sorted(names)}')
    return verdict


@check('leaving')
def check_leaving(record: RunRecord) -> Verdict:
    """Look for work that started at an endpoint after it was leaving."""
    verdict = Verdict()
    started = [(line['endpoint'], line['at_s']) for line in record.runs]
    started += [
        (line['endpoint'], line['at_s']) for line in record.generations
    ]
    for leaving in record.leavings:
        limit_s = leaving.listed_at_s + LEAVING_LIMIT_S
        late = [
            at_s
            for endpoint, at_s in started
            if endpoint == leaving.endpoint
            and limit_s < at_s < leaving.ended_at_s
        ]
        verdict.count(
            not late, f'{leaving.endpoint} got {len(late)} after the limit'
        )
    return verdict


@check('graceful_stop')
def check_graceful_stop(record: RunRecord) -> Verdict:
    """Check that a planned stop cut none of the requests in flight."""
    verdict = Verdict()
    for stop in record.stops:
        for call in stop.calls:
            verdict.count(
                call.outcome == ANSWERED and not call.connection_lost,
                f'{stop.host}: {call.marker} ended as {call.outcome}',
            )
        verdict.count(
            stop.exit_status == 0,
            f'{stop.host}: exit status {stop.exit_status}',
        )
    return verdict


@check('configuration')
def check_configuration(record: RunRecord) -> Verdict:
    """Check that only the newest declarations are in force after the limit.

    Every revision declares one probe class of its own and drops the one
    before, so a run of an old probe shows old declarations in force, and a
    refusal of the newest probe as undeclared shows that they are missing.
    """
    verdict = Verdict()
    revisions = sorted(record.revisions, key=lambda r: r.revision)
    for older, newer in zip(revisions, revisions[1:], strict=False):
        limit_s = newer.accepted_at_s + CONFIGURATION_LIMIT_S
        late = [
            line
            for line in record.runs
            if line['body'].get('probe') == older.probe
            and line['at_s'] > limit_s
        ]
        verdict.count(not late, f'{older.probe} ran {len(late)} times late')
    for probe in record.rejected_probes:
        runs = [r for r in record.runs if r['body'].get('probe') == probe]
        verdict.count(not runs, f'{probe} was rejected and ran')
    for revision, newer_at_s in _periods(revisions):
        for call in record.calls:
            if call.class_name != revision.probe or not (
                revision.accepted_at_s + CONFIGURATION_LIMIT_S
                < call.sent_at_s
                < newer_at_s
            ):
                continue
            verdict.count(
                'not declared' not in call.reason,
                f'{revision.probe} is not declared at {call.host}',
            )
    return verdict


def _periods(
    revisions: list[RevisionRecord],
) -> list[tuple[RevisionRecord, float]]:
    ends = [r.sent_at_s for r in revisions[1:]] + [float('inf')]
    return list(zip(revisions, ends, strict=True))
