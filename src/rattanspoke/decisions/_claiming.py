"""Claims on idempotency keys, which let a booking run at most once.

Before a booking is sent to an upstream, an attempt must acquire the claim on its
idempotency key. Only the attempt whose token the claim holds may run the booking.
"""

from ..model import (
    ClaimEntry,
    ClaimReply,
    ClaimRequest,
    ClaimSettlement,
    ClaimState,
    Reason,
)

ClaimTable = dict[str, ClaimEntry]


def name_claim(claim_request: ClaimRequest | ClaimSettlement) -> str:
    """Return the name of a claim: the organisation and its idempotency key."""
    return f'{claim_request.organisation}/{claim_request.key}'


def acquire_claim(claims: ClaimTable, claim_request: ClaimRequest) -> ClaimReply:
    """Grant a claim to an attempt if no other attempt holds it.

    The operation is idempotent: asking again with the token that holds the claim is
    granted again, so the attempt may repeat a request whose reply was lost. An attempt
    that released its claim is never granted it again, so a request that arrives after
    the release cannot lock the key.

    Args:
        claims: claims by name, changed in place.
        claim_request: the attempt's request for the claim.

    Returns:
        Whether the claim is granted, why not, and the entry that is stored. The entry
        is left out when the key was used for another request (another fingerprint).
    """
    existing = claims.get(name_claim(claim_request))
    if existing is None or _may_reacquire(existing, claim_request):
        entry = ClaimEntry(
            token=claim_request.token,
            state=ClaimState.CLAIMED,
            fingerprint=claim_request.fingerprint,
        )
        claims[name_claim(claim_request)] = entry
        return ClaimReply(granted=True, entry=entry)
    if existing.fingerprint != claim_request.fingerprint:
        return ClaimReply(granted=False, reason=Reason.BAD_REQUEST, entry=None)
    granted = (
        existing.token == claim_request.token and existing.state is ClaimState.CLAIMED
    )
    reason = Reason.NONE if granted else Reason.KEY_IN_USE
    return ClaimReply(granted=granted, reason=reason, entry=existing)


def settle_claim(claims: ClaimTable, settle: ClaimSettlement) -> bool:
    """Record how an attempt ended, if it holds the claim.

    A release is recorded even if the claim request was never received, so that the
    request is refused if it arrives later. Once an entry says that the booking ran or
    that the claim was released, its attempt cannot change it.

    Args:
        claims: claims by name, changed in place.
        settle: the attempt's token and how it ended.

    Returns:
        Whether the stored entry now equals the state that the attempt reported.
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


def _may_reacquire(existing: ClaimEntry, claim_request: ClaimRequest) -> bool:
    return (
        existing.state is ClaimState.RELEASED and existing.token != claim_request.token
    )
