"""Units of the decisions: times are integer tenths of a millisecond (monotonic), rates are per second.

Only `SlowStart.rate` is per tenth of a millisecond.
"""

SECOND = 10_000
