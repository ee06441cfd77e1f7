"""Check the guarantees of the service against the record of a run."""

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

MAX_LEAVING_DELAY_S = 3.0
MAX_CONFIGURATION_DELAY_S = 4.0
# The trainer library drops a response that arrives later than this after its
# request, so the service checked the staleness bound no earlier than this
# before the arrival.
MAX_DELIVERY_DELAY_S = 2.0


class Verdict(Struct):
    """Counts of the cases of one guarantee: checked and violated."""

    checked: int = 0
    broken: int = 0
    examples: list[str] = field(default_factory=list)

    def count(self, holds: bool, example: str) -> None:
        """Count one case; keep the example if the guarantee is violated."""
        self.checked += 1
        if not holds:
            self.broken += 1
            self.examples.append(example)


Check = Callable[[RunRecord], Verdict]
CHECKS: dict[str, Check] = {}


def register_check(name: str) -> Callable[[Check], Check]:
    """Register a function as the check of a guarantee."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def check_all(record: RunRecord) -> dict[str, Verdict]:
    """Run every check and return its verdict by name."""
    return {name: function(record) for name, function in CHECKS.items()}


@register_check('versions')
def check_versions(record: RunRecord) -> Verdict:
    """Compare the versions that samples report with the engines' journals."""
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
            all_tokens = [i for i, _ in named] == list(
                range(len(sample.tokens))
            )
            matching = all(
                any(_version_at(run, index) == version for run in runs)
                for index, version in named
            )
            verdict.count(
                all_tokens and matching and bool(named),
                f'{sample.sample_id} names {sample.versions}',
            )
    return verdict


def _version_changes(
    record: RunRecord,
) -> dict[str, list[list[tuple[int, int]]]]:
    """Return (first token, version) pairs per generation of each sample."""
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
    """Return the version that generated the token at an index."""
    before = [version for first, version in changes if first <= index]
    return before[-1] if before else None


@register_check('staleness')
def check_staleness(record: RunRecord) -> Verdict:
    """Compare each batch with the newest version when it was delivered."""
    verdict = Verdict()
    for batch in record.batches:
        at_s = max(
            batch.requested_at_s, batch.received_at_s - MAX_DELIVERY_DELAY_S
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


@register_check('exactly_once')
def check_exactly_once(record: RunRecord) -> Verdict:
    """Check that every step was delivered once, complete and in order."""
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


@register_check('whole_answers')
def check_whole_answers(record: RunRecord) -> Verdict:
    """Check that each answer is complete and belongs to its request."""
    verdict = Verdict()
    for call in record.calls:
        if call.outcome == ANSWERED:
            verdict.count(_is_complete(call), f'{call.marker}: {call.answer}')
    return verdict


def _is_complete(call: CallRecord) -> bool:
    answer = call.answer or {}
    if 'max_tokens' in call.body:
        tokens = answer.get('tokens', [])
        return bool(len(tokens) == call.body['max_tokens'])
    return bool(answer.get('echo') == call.body)


def _starts_by_marker(record: RunRecord) -> dict[str, list[float]]:
    """Return the times at which services started each marked request."""
    starts: dict[str, list[float]] = defaultdict(list)
    for line in record.runs:
        marker = line['body'].get('marker')
        if marker is not None:
            starts[marker].append(line['at_s'])
    return starts


@register_check('not_run')
def check_not_run(record: RunRecord) -> Verdict:
    """Check that a request did not run before it was refused as not run."""
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


@register_check('at_most_once')
def check_at_most_once(record: RunRecord) -> Verdict:
    """Check that non-repeatable requests ran at most once.

    An answered request must have run exactly once.
    """
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


@register_check('leaving')
def check_leaving(record: RunRecord) -> Verdict:
    """Check that a leaving endpoint receives no work after the delay."""
    verdict = Verdict()
    started = [(line['endpoint'], line['at_s']) for line in record.runs]
    started += [
        (line['endpoint'], line['at_s']) for line in record.generations
    ]
    for leaving in record.leavings:
        limit_s = leaving.listed_at_s + MAX_LEAVING_DELAY_S
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


@register_check('graceful_stop')
def check_graceful_stop(record: RunRecord) -> Verdict:
    """Check that a planned stop interrupted no request in flight."""
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


@register_check('configuration')
def check_configuration(record: RunRecord) -> Verdict:
    """Check that only the newest declarations are in force after the delay.

    Every revision declares its own probe class and drops the previous one.
    So a run of an old probe shows that old declarations are in force, and a
    refusal of the newest probe as undeclared shows that the new ones are not.
    """
    verdict = Verdict()
    revisions = sorted(record.revisions, key=lambda r: r.revision)
    for older, newer in zip(revisions, revisions[1:], strict=False):
        limit_s = newer.accepted_at_s + MAX_CONFIGURATION_DELAY_S
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
    for revision, newer_at_s in _validity_periods(revisions):
        for call in record.calls:
            if call.class_name != revision.probe or not (
                revision.accepted_at_s + MAX_CONFIGURATION_DELAY_S
                < call.sent_at_s
                < newer_at_s
            ):
                continue
            verdict.count(
                'not declared' not in call.reason,
                f'{revision.probe} is not declared at {call.host}',
            )
    return verdict


def _validity_periods(
    revisions: list[RevisionRecord],
) -> list[tuple[RevisionRecord, float]]:
    """Return each revision and when its successor was sent."""
    ends = [r.sent_at_s for r in revisions[1:]] + [float('inf')]
    return list(zip(revisions, ends, strict=True))
