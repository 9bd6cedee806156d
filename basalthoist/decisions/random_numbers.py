"""The random number generator of the decisions: a linear congruential generator whose high bits are used."""


class Lcg:
    """A stream of random numbers that is the same for the same seed."""

    def __init__(self, seed: int) -> None:
        self.state = seed & (2**64 - 1)

    def uniform(self) -> float:
        """Returns the next number, in [0, 1)."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (2**64 - 1)
        return (self.state >> 33) / 2**31
