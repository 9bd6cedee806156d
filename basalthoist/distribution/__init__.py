"""Configuration in versions, scoped, in deltas, by relays. Decides without I/O; docs/distribution.md."""
