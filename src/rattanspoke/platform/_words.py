"""Header names, paths and statuses of the platform's HTTP interfaces."""

# The caller's identifier of a request; an upstream may repeat it in its reply.
ATTEMPT_ID_HEADER = b'rattanspoke-attempt-id'
# Milliseconds until the sender of a request stops waiting.
TIME_BUDGET_HEADER = b'rattanspoke-time-budget'
# Proof that the upstream itself produced the reply.
SERVER_SEAL_HEADER = b'rattanspoke-server-seal'
# Name of the upstream that is to run a request.
TARGET_INSTANCE_HEADER = b'rattanspoke-target-instance'
# Its presence in a reply proves that the request did not run.
NOT_EXECUTED_HEADER = b'rattanspoke-not-executed'
# Seals of the shards that a merged answer covers, and the number of missing shards.
PART_SEALS_HEADER = b'rattanspoke-part-stamps'
MISSING_PARTS_HEADER = b'rattanspoke-missing-parts'

# An upstream that shuts down sends this header with the value 1 in every reply.
SERVER_LEAVING_HEADER = b'server-leaving'
SERVER_LEAVES = b'1'
# In a reply with status 503, the seconds for which the upstream wants no requests.
RETRY_AFTER_HEADER = b'retry-after'
UNAVAILABLE_STATUS = 503
MISDIRECTED_STATUS = 421  # the address now belongs to another upstream

# Statuses that promise a caller that its request has not run.
PROMISE_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, UNAVAILABLE_STATUS))

READINESS_PATH = '/-/readiness'  # probed by the load balancer
OBJECTS_PATH = '/-/objects/'  # prefix of the paths of stored objects

# Headers that concern a single connection and are never forwarded, and the caller's
# headers that the host replaces with its own when it forwards a request.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
# An encoded reply is not the one that the upstream sealed, so none is asked for.
ACCEPT_ENCODING_HEADER = b'accept-encoding'
# Headers of replies that are addressed to this host and not to its callers.
REPLY_HOP_HEADERS = HOP_BY_HOP_HEADERS | {SERVER_LEAVING_HEADER, RETRY_AFTER_HEADER}
REPLACED_HEADERS = frozenset(
    (TIME_BUDGET_HEADER, TARGET_INSTANCE_HEADER, ACCEPT_ENCODING_HEADER)
)
