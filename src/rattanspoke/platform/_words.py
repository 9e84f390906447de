"""Header names and words of the platform's wire, each written once."""

ATTEMPT_ID_HEADER = b'rattanspoke-attempt-id'
TIME_BUDGET_HEADER = b'rattanspoke-time-budget'  # milliseconds
SERVER_SEAL_HEADER = b'rattanspoke-server-seal'
TARGET_INSTANCE_HEADER = b'rattanspoke-target-instance'
NOT_EXECUTED_HEADER = b'rattanspoke-not-executed'
PART_SEALS_HEADER = b'rattanspoke-part-stamps'
MISSING_PARTS_HEADER = b'rattanspoke-missing-parts'

READINESS_PATH = '/-/readiness'
OBJECTS_PATH = '/-/objects/'

MISDIRECTED_STATUS = 421  # the address belongs to another upstream now

# Headers that concern one connection only, and those that this system sets itself.
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
REPLACED_HEADERS = frozenset((TIME_BUDGET_HEADER, TARGET_INSTANCE_HEADER))
