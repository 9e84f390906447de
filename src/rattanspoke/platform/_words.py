"""Header names and words of the platform's wire, each written once."""

ATTEMPT_HEADER = b'rattanspoke-attempt-id'
BUDGET_HEADER = b'rattanspoke-time-budget'  # milliseconds
SEAL_HEADER = b'rattanspoke-server-seal'
TARGET_HEADER = b'rattanspoke-target-instance'
NOT_EXECUTED_HEADER = b'rattanspoke-not-executed'
PART_SEALS_HEADER = b'rattanspoke-part-stamps'
MISSING_PARTS_HEADER = b'rattanspoke-missing-parts'

READINESS_PATH = '/-/readiness'
OBJECTS_PATH = '/-/objects/'

MISDIRECTED = 421  # the address belongs to another upstream now

# Headers that concern one connection only, and those that this system sets itself.
HOP_HEADERS = frozenset(
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
OWN_HEADERS = frozenset((BUDGET_HEADER, TARGET_HEADER))
