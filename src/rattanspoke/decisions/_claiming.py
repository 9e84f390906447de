"""At most once: what a claim object says and how it may change."""

from ..model import (
    ClaimAsk,
    ClaimEntry,
    ClaimReply,
    ClaimSettle,
    ClaimState,
    Reason,
)

ClaimTable = dict[str, ClaimEntry]


def name_claim(ask: ClaimAsk | ClaimSettle) -> str:
    """Return the name of a request's claim; organisations never share one."""
    return f'{ask.organisation}/{ask.key}'


def acquire_claim(claims: ClaimTable, ask: ClaimAsk) -> ClaimReply:
    """Give the claim to the asking attempt if nobody has it; change claims in place.

    Asking again with the token that holds the claim is granted again, so a reply that
    was lost does no harm. An attempt that gave its claim up never gets it back, so an
    ask that is delayed past the release does no harm either.
    """
    existing = claims.get(name_claim(ask))
    if existing is None or _may_reacquire(existing, ask):
        entry = ClaimEntry(
            token=ask.token, state=ClaimState.CLAIMED, fingerprint=ask.fingerprint
        )
        claims[name_claim(ask)] = entry
        return ClaimReply(granted=True, entry=entry)
    if existing.fingerprint != ask.fingerprint:
        return ClaimReply(granted=False, reason=Reason.BAD_REQUEST, entry=None)
    granted = existing.token == ask.token and existing.state is ClaimState.CLAIMED
    reason = Reason.NONE if granted else Reason.KEY_IN_USE
    return ClaimReply(granted=granted, reason=reason, entry=existing)


def settle_claim(claims: ClaimTable, settle: ClaimSettle) -> bool:
    """Write down how an attempt ended, if it holds the claim; tell whether it does.

    A release is kept even where the claim was never seen, to stop a delayed ask.
    """
    existing = claims.get(name_claim(settle))
    if existing is None and settle.entry.state is ClaimState.RELEASED:
        claims[name_claim(settle)] = settle.entry
        return True
    if existing is None or existing.token != settle.entry.token:
        return False
    if existing.state in {ClaimState.RAN, ClaimState.RELEASED}:
        return existing == settle.entry
    claims[name_claim(settle)] = settle.entry
    return True


def _may_reacquire(existing: ClaimEntry, ask: ClaimAsk) -> bool:
    return existing.state is ClaimState.RELEASED and existing.token != ask.token
