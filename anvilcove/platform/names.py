"""Header names: those that the platform defines and hop-by-hop headers."""

ATTEMPT_ID = 'Attempt-Id'
AUTHORIZATION = 'Authorization'
DEADLINE_MS = 'Deadline-Ms'
EXPECT_INSTANCE = 'Expect-Instance'
INSTANCE_ID = 'Instance-Id'
NOT_EXECUTED = 'Not-Executed'
SERVER_STAMP = 'Server-Stamp'
SERVER_LOAD = 'Server-Load'
SERVER_LEAVING = 'Server-Leaving'
SERVER_LIMIT = 'Server-Limit'
TENANT = 'Tenant'
WEIGHT_VERSIONS = 'Weight-Versions'
LAST_EVENT_ID = 'Last-Event-Id'
RESUMES = 'Resumes'
URGENCY = 'Urgency'
WAIT_MS = 'Wait-Ms'
RETRY_AFTER = 'Retry-After'

# Names of headers that concern one connection and are not forwarded.
DUTY_HOLDER = 'Duty-Holder'
FENCING_TOKEN = 'Fencing-Token'
HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    }
)
