"""Exit codes that all commands share."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """The exit code of a command.

    Attributes:
        OK: the command succeeded.
        FAILED: the command failed for a reason other than those below.
        INVALID: settings or records are not valid.
        CONFLICT: another writer changed a record first.
    """

    OK = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
