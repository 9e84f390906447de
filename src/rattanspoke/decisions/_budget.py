"""Token buckets: one that fills with time, one that fills with ordinary requests."""

from dataclasses import dataclass

from ..model import Seconds


@dataclass(slots=True)
class TokenBucket:
    """A rate limit with a burst.

    Attributes:
        rate: tokens added per second.
        capacity: the largest number of tokens, which is the burst.
        tokens: tokens in the bucket at the time `updated`.
        updated: the time of the last change, in seconds of the caller's clock.
    """

    rate: float
    capacity: float
    tokens: float
    updated: Seconds

    def has_tokens(self, now: Seconds, amount: float = 1) -> bool:
        """Return whether enough tokens are in the bucket, without taking them."""
        gained = max(0, now - self.updated) * self.rate
        return min(self.capacity, self.tokens + gained) >= amount

    def take(self, now: Seconds, amount: float = 1) -> bool:
        """Take tokens if there are enough, and return whether there were.

        A clock that steps back adds no tokens.
        """
        gained = max(0, now - self.updated) * self.rate
        self.tokens = min(self.capacity, self.tokens + gained)
        self.updated = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


@dataclass(slots=True)
class RetryBudget:
    """A token bucket that allows extra sends as a fraction of ordinary ones.

    Each ordinary send deposits a fraction of a token, and each extra send (a hedge or a
    retry) withdraws a token. Extra load therefore stays proportional to ordinary load.

    Attributes:
        ratio: tokens deposited for each unit of ordinary work.
        capacity: the largest balance.
        balance: tokens available now; negative while overdrawn.
        overdraft: how far below zero the balance may go; later deposits make up for it.
        rate: tokens added per second, whatever the ordinary work.
        refilled_at: when they were added last, in seconds of the caller's clock.
    """

    ratio: float
    capacity: float
    balance: float = 0
    overdraft: float = 0
    rate: float = 0
    refilled_at: Seconds | None = None

    @property
    def remaining_fraction(self) -> float:
        """The tokens that may still be withdrawn, as a fraction of the largest amount.

        The overdraft counts as available.
        """
        return (self.balance + self.overdraft) / (self.capacity + self.overdraft)

    def resize(self, capacity: float) -> None:
        """Change the capacity; a smaller one scales the balance down in proportion."""
        if capacity < self.capacity:
            self.balance *= capacity / self.capacity
        self.capacity = capacity

    def deposit(self, amount: float = 1) -> None:
        """Deposit for ordinary work, up to the capacity.

        Args:
            amount: units of ordinary work, each worth `ratio` tokens.
        """
        self.balance = min(self.capacity, self.balance + amount * self.ratio)

    def refill(self, now: Seconds) -> None:
        """Add the tokens for the time since the last call, up to the capacity."""
        if self.refilled_at is not None:
            gained = max(0, now - self.refilled_at) * self.rate
            self.balance = min(self.capacity, self.balance + gained)
        self.refilled_at = now

    def refund(self, amount: float) -> None:
        """Return the tokens that were withdrawn for extra sends that did not happen."""
        self.balance = min(self.capacity, self.balance + amount)

    def withdraw(self, amount: float = 1) -> bool:
        """Withdraw tokens if the balance and the overdraft suffice, else return False.

        Args:
            amount: tokens, one for each extra send (in a search, each hedged shard).
        """
        if self.balance + self.overdraft < amount:
            return False
        self.balance -= amount
        return True
