"""Configuration in versions at full size: machines set aside are real processes, nodes are hollow."""
