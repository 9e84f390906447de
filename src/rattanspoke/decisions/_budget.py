"""Token buckets that bound rates and extra load."""

from dataclasses import dataclass

from ..model import Seconds


@dataclass(slots=True)
class TokenBucket:
    """Allow a sustained rate and a burst.

    Attributes:
        rate: tokens gained each second.
        capacity: tokens kept at most.
        tokens: tokens left.
        updated: the time at which tokens was right, in seconds of the caller's clock.
    """

    rate: float
    capacity: float
    tokens: float
    updated: Seconds

    def has_tokens(self, now: Seconds, amount: float = 1) -> bool:
        """Tell whether there are enough tokens, without taking them."""
        gained = max(0, now - self.updated) * self.rate
        return min(self.capacity, self.tokens + gained) >= amount

    def take(self, now: Seconds, amount: float = 1) -> bool:
        """Take tokens if there are enough; a clock that steps back gains nothing."""
        gained = max(0, now - self.updated) * self.rate
        self.tokens = min(self.capacity, self.tokens + gained)
        self.updated = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


@dataclass(slots=True)
class RetryBudget:
    """Allow extra work as a fraction of ordinary work.

    Attributes:
        ratio: extra work gained with each piece of ordinary work.
        capacity: extra work saved up at most.
        saved: extra work allowed now; negative while in debt.
        overdraft: debt allowed at most, to be earned back.
    """

    ratio: float
    capacity: float
    balance: float = 0
    overdraft: float = 0

    @property
    def remaining_fraction(self) -> float:
        """What may still be spent, as a fraction of the most that can be."""
        return (self.balance + self.overdraft) / (self.capacity + self.overdraft)

    def resize(self, capacity: float) -> None:
        """Keep another amount at most; less of it scales down what is saved."""
        if capacity < self.capacity:
            self.balance *= capacity / self.capacity
        self.capacity = capacity

    def deposit(self, amount: float = 1) -> None:
        """Count ordinary work."""
        self.balance = min(self.capacity, self.balance + amount * self.ratio)

    def refund(self, amount: float) -> None:
        """Take back what was spent on extra work that was never sent."""
        self.balance = min(self.capacity, self.balance + amount)

    def withdraw(self, amount: float = 1) -> bool:
        """Spend on extra work if enough is saved or may be owed."""
        if self.balance + self.overdraft < amount:
            return False
        self.balance -= amount
        return True
