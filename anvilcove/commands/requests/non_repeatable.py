"""Run a not-repeatable request at most once, under a claim."""

from anvilcove.commands.requests.attempts import Attempts
from anvilcove.commands.requests.claim import ClaimPart
from anvilcove.commands.rollouts.job import GivenUp, Job
from anvilcove.daemon.context import Context
from anvilcove.messages.callers import NOT_RUN, Outcome
from anvilcove.ports.errors import EndpointFailed, EndpointNotRun


async def run_claimed(
    context: Context, attempts: Attempts, job: Job
) -> Outcome:
    """Claim and run a request, or raise GivenUp if there is no claim."""
    context.policy('retry').started(context.clock.now())
    claims: ClaimPart = context.part(ClaimPart)
    taken = await claims.take(job)
    if isinstance(taken, Outcome):
        return taken
    try:
        outcome = await _attempt_under_claim(attempts, job)
    except BaseException:
        if job.may_have_run:
            claims.finish(job, taken, job.unknown('the attempt was stopped'))
        else:
            claims.release(taken)
        raise
    if outcome.outcome == NOT_RUN:
        claims.release(taken)
    else:
        claims.finish(job, taken, outcome)
    return outcome


async def _attempt_under_claim(attempts: Attempts, job: Job) -> Outcome:
    """Try endpoints until one may have run the request."""
    attempt = 0
    while True:
        try:
            slot = await attempts.ready_slot(job)
            attempt += 1
            return await attempts.attempt(job, slot, fresh_connection=True)
        except GivenUp as error:
            return job.ended(error)
        except EndpointFailed as error:
            return job.unknown(str(error))
        except EndpointNotRun as error:
            failure = error
        try:
            await attempts.before_next(job, slot, attempt, failure)
        except GivenUp as error:
            return job.ended(error)
