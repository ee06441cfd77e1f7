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
    """Claim and run a request, or raise GivenUp if it cannot be claimed."""
    context.policy('retry').started(context.clock.now())
    claims: ClaimPart = context.part(ClaimPart)
    claim = await claims.acquire(job)
    if isinstance(claim, Outcome):
        return claim
    try:
        outcome = await _attempt_under_claim(attempts, job)
    except BaseException:
        if job.may_have_run:
            claims.finish(job, claim, job.unknown('the attempt was stopped'))
        else:
            claims.release(claim)
        raise
    if outcome.outcome == NOT_RUN:
        claims.release(claim)
    else:
        claims.finish(job, claim, outcome)
    return outcome


async def _attempt_under_claim(attempts: Attempts, job: Job) -> Outcome:
    """Retry until an endpoint may have run the request or it is given up."""
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
            await attempts.prepare_retry(job, slot, attempt, failure)
        except GivenUp as error:
            return job.ended(error)
